/// One process started by a scenario.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace quetzalvale {

/// Starts the program at construction and ends it, by its id, at destruction. The kernel ends it as
/// well when the runner itself dies. Not thread-safe: belongs to the thread that made it.
class ChildProcess {
 public:
  /// `arguments` begins with the program's path. Output is appended to `log_file`. Throws
  /// std::runtime_error when the process cannot be started.
  ChildProcess(const std::vector<std::string>& arguments, const std::string& log_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Id() const { return this->id; }

  /// Does nothing when the process has ended.
  void Signal(int number);

  /// Returns the exit code, or the negative signal number that ended the process; nothing while it
  /// runs.
  std::optional<int> ExitCode();

  /// Waits for the end at most `limit`; otherwise as ExitCode().
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);

 private:
  pid_t id = -1;
  std::optional<int> exit_code;
};

}  // namespace quetzalvale
