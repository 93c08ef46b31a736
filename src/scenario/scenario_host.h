/// What a scenario can do: processes, links, calls. Independent of Lua.
#pragma once

#include <json/value.h>
#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "scenario/call_records.h"
#include "scenario/child_process.h"
#include "scenario/link_table.h"
#include "scenario/port_block.h"
#include "scenario/relay_hub.h"
#include "scenario/work_folder.h"

namespace quetzalvale {

/// Owns everything that a scenario starts and ends it at destruction. Functions throw
/// std::runtime_error, std::invalid_argument or std::out_of_range with a message for the script's
/// author. Belongs to one thread.
class ScenarioHost {
 public:
  struct StartOptions {
    /// Names the process in links and logs. May be used again once the process has ended.
    std::string name;
    /// File name in the folder of the programs.
    std::string program;
    std::vector<std::string> arguments;
    /// Written to a file that is passed as --settings=FILE, unless null.
    Json::Value settings;
  };

  /// What a randomized script asks for.
  struct RunOptions {
    std::int64_t seed = 1;
    /// For how long it disturbs the processes.
    int seconds = 10;
  };

  /// `programs` is the folder of the built programs. `without` names the guard to remove, as
  /// `agent.NAME` or `entry.NAME`: the test variant unguarded-agent or unguarded-entry is then
  /// started in place of the program. Empty: none.
  explicit ScenarioHost(std::string programs, std::string without = "");

  /// Returns the process id.
  pid_t Start(const StartOptions& options);

  /// `signal` is TERM, KILL, STOP or CONT.
  void Signal(const std::string& name, const std::string& signal);

  /// Returns the exit code or the negative signal number; nothing when the process still runs after
  /// `limit`.
  std::optional<int> WaitForExit(const std::string& name, std::chrono::milliseconds limit);

  /// Returns the name of a process that ended by a signal of its own, such as SIGSEGV, or nothing.
  std::optional<std::string> FindCrashed();

  std::uint16_t FreePort() { return this->ports.Next(); }

  /// Opens a relay to the port where the process `target` listens and returns the relay's port.
  std::uint16_t AddRelay(const std::string& target, std::uint16_t target_port);

  void SetOptions(const RunOptions& given) { this->options = given; }
  const RunOptions& Options() const { return this->options; }
  LinkTable& Links() { return this->links; }
  CallRecords& Calls() { return this->calls; }
  WorkFolder& Folder() { return this->folder; }

 private:
  /// Program and first arguments of the process.
  std::vector<std::string> CommandOf(const StartOptions& options) const;
  ChildProcess& Find(const std::string& name);
  std::string NameClient(std::uint16_t client_port, std::uint16_t relay_port);

  std::string programs;
  std::string without;
  RunOptions options;
  WorkFolder folder;
  PortBlock ports;
  CallRecords calls;
  LinkTable links;
  /// Ids by name, for the relay thread.
  std::mutex mutex;
  std::map<std::string, pid_t> process_ids;
  RelayHub relays;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes;
};

}  // namespace quetzalvale
