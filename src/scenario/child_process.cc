#include "scenario/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};
/// Exit code of a child whose program could not be executed, as in shells.
constexpr int kNotExecuted = 127;

/// Runs in the child between fork and exec, where only async-signal-safe functions are allowed.
[[noreturn]] void ExecuteInChild(char* const* arguments, int log, pid_t runner) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The runner may have died before the line above.
  if (getppid() != runner) {
    _exit(kNotExecuted);
  }
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(arguments[0], arguments);
  _exit(kNotExecuted);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::string& log_file) {
  if (access(arguments.at(0).c_str(), X_OK) != 0) {
    throw std::runtime_error(arguments[0] + ": no such program; build it or pass --programs=DIR");
  }
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) {
    throw std::runtime_error(log_file + ": cannot be written");
  }
  const pid_t runner = getpid();
  this->id = fork();
  if (this->id == 0) {
    ExecuteInChild(pointers.data(), log, runner);
  }
  close(log);
  if (this->id < 0) {
    throw std::runtime_error(arguments[0] + ": fork failed; check the limit of processes");
  }
}

ChildProcess::~ChildProcess() {
  this->Signal(SIGKILL);
  while (!this->ExitCode()) {
    std::this_thread::sleep_for(kPollPeriod);
  }
}

void ChildProcess::Signal(int number) {
  // Until it is waited for, an ended process keeps its id, so the signal cannot reach another one.
  if (!this->ExitCode()) {
    kill(this->id, number);
  }
}

std::optional<int> ChildProcess::ExitCode() {
  int status = 0;
  if (!this->exit_code && waitpid(this->id, &status, WNOHANG) == this->id) {
    this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return this->exit_code;
}

std::optional<int> ChildProcess::WaitForExit(std::chrono::milliseconds limit) {
  const auto give_up = std::chrono::steady_clock::now() + limit;
  while (!this->ExitCode() && std::chrono::steady_clock::now() < give_up) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  return this->exit_code;
}

}  // namespace quetzalvale
