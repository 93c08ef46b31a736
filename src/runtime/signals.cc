#include "runtime/signals.h"

#include <csignal>

namespace quetzalvale {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal(const std::function<void()>& reload) {
  const sigset_t signals = StopSignals();
  while (true) {
    int received = 0;
    const bool arrived = sigwait(&signals, &received) == 0;
    if (arrived && received == SIGHUP) {
      reload();
    } else if (arrived) {
      return;
    }
  }
}

}  // namespace quetzalvale
