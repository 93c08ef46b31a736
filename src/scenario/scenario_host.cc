#include "scenario/scenario_host.h"

#include <csignal>
#include <set>
#include <stdexcept>
#include <utility>

#include "protocol/codec.h"
#include "runtime/log.h"
#include "scenario/socket_owner.h"

namespace quetzalvale {
namespace {

int SignalNumber(const std::string& signal) {
  static const std::map<std::string, int> numbers{
      {"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
  const auto found = numbers.find(signal);
  if (found == numbers.end()) {
    throw std::invalid_argument("unknown signal " + signal + "; use TERM, KILL, STOP or CONT");
  }
  return found->second;
}

}  // namespace

ScenarioHost::ScenarioHost(std::string programs, std::string without)
    : programs(std::move(programs)),
      without(std::move(without)),
      relays(links, [this](std::uint16_t client_port, std::uint16_t relay_port) {
        return this->NameClient(client_port, relay_port);
      }) {}

pid_t ScenarioHost::Start(const StartOptions& options) {
  const auto old = this->processes.find(options.name);
  if (old != this->processes.end() && !old->second->ExitCode()) {
    throw std::invalid_argument(options.name + " runs already; stop or kill it first");
  }
  std::vector<std::string> arguments = this->CommandOf(options);
  arguments.insert(arguments.end(), options.arguments.begin(), options.arguments.end());
  if (!options.settings.isNull()) {
    const std::string file =
        this->folder.Write(options.name + ".json", options.settings.toStyledString());
    arguments.push_back("--settings=" + file);
  }
  auto process =
      std::make_unique<ChildProcess>(arguments, this->folder.Path(options.name + ".log"));
  const pid_t id = process->Id();
  this->processes[options.name] = std::move(process);
  const std::lock_guard lock(this->mutex);
  this->process_ids[options.name] = id;
  Log(LogLevel::kDebug, 5001, "process_started",
      "name=" + options.name + " process_id=" + std::to_string(id));
  return id;
}

std::vector<std::string> ScenarioHost::CommandOf(const StartOptions& options) const {
  const std::size_t dot = this->without.find('.');
  const std::string role = this->without.substr(0, dot);
  if (dot == std::string::npos || options.program != "quetzalvale-" + role) {
    return {this->programs + "/" + options.program};
  }
  return {this->programs + "/unguarded-" + role, "--without=" + this->without.substr(dot + 1)};
}

std::optional<std::string> ScenarioHost::FindCrashed() {
  static const std::set<int> crashes{-SIGSEGV, -SIGABRT, -SIGBUS, -SIGFPE, -SIGILL};
  for (const auto& [name, process] : this->processes) {
    const std::optional<int> code = process->ExitCode();
    if (code && crashes.contains(*code)) {
      return name;
    }
  }
  return std::nullopt;
}

void ScenarioHost::Signal(const std::string& name, const std::string& signal) {
  this->Find(name).Signal(SignalNumber(signal));
  Log(LogLevel::kDebug, 5002, "signal_sent", "name=" + name + " signal=" + signal);
}

std::optional<int> ScenarioHost::WaitForExit(const std::string& name,
                                             std::chrono::milliseconds limit) {
  return this->Find(name).WaitForExit(limit);
}

std::uint16_t ScenarioHost::AddRelay(const std::string& target, std::uint16_t target_port) {
  const std::uint16_t relay_port = this->ports.Next();
  this->relays.Add(relay_port, target_port, target);
  return relay_port;
}

ChildProcess& ScenarioHost::Find(const std::string& name) {
  const auto found = this->processes.find(name);
  if (found == this->processes.end()) {
    throw std::invalid_argument("no process " + name + " was started");
  }
  return *found->second;
}

std::string ScenarioHost::NameClient(std::uint16_t client_port, std::uint16_t relay_port) {
  std::map<std::string, pid_t> ids;
  {
    const std::lock_guard lock(this->mutex);
    ids = this->process_ids;
  }
  std::vector<pid_t> candidates;
  candidates.reserve(ids.size());
  for (const auto& [name, id] : ids) {
    candidates.push_back(id);
  }
  const pid_t owner = FindSocketOwner(client_port, relay_port, candidates);
  for (const auto& [name, id] : ids) {
    if (owner != 0 && id == owner) {
      return name;
    }
  }
  return "";
}

}  // namespace quetzalvale
