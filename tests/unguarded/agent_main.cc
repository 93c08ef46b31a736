// unguarded-agent: the agent without one guard, for scenarios that must then fail.
#include <unistd.h>

#include <csignal>
#include <cstdlib>

#include "agent/agent_process.h"
#include "http/http_server.h"
#include "runtime/log.h"
#include "runtime/signals.h"
#include "tests/unguarded/options.h"

namespace quetzalvale {
namespace {

constexpr int kHttpThreads = 4;

/// Returns false when there is no such guard.
bool Remove(const std::string& guard, AgentGuards& guards) {
  if (guard == "accept_sequence") {
    guards.accept_sequence = [](ChannelTable&, const Incarnation&, std::uint64_t, Time) {
      return true;
    };
  } else if (guard == "is_sealed") {
    guards.is_sealed = [](const SealedTickets&, const Ticket&) { return false; };
  } else if (guard == "refuses_starts") {
    guards.refuses_starts = [](bool) { return false; };
  } else {
    return false;
  }
  return true;
}

int Run(const UnguardedOptions& options) {
  AgentGuards guards;
  if (!Remove(options.guard, guards)) {
    std::cerr << "the agent has no guard " << options.guard << "\n";
    return EXIT_FAILURE;
  }
  InitLog("unguarded-agent", ParseLogLevel(options.settings.log_level));
  InitHttpThreads(kHttpThreads);
  AgentProcess agent(
      options.settings, [] { kill(getpid(), SIGTERM); }, std::move(guards));
  const std::string problem = agent.Start();
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return EXIT_FAILURE;
  }
  WaitForStopSignal();
  agent.Leave();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace quetzalvale

int main(int argc, char** argv) {
  quetzalvale::BlockStopSignals();
  const auto options = quetzalvale::ReadUnguardedOptions(argc, argv);
  return options ? quetzalvale::Run(*options) : EXIT_FAILURE;
}
