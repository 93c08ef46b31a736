#include "core/agent/agent_core.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

/// Ticks arrive at least every 100 ms, so a gap of this length means that the process was
/// suspended.
constexpr Milliseconds kMinLoggedPause{1000};

}  // namespace

AgentCore::AgentCore(AgentIdentity identity, std::vector<std::string> seed_entry_addresses,
                     AgentGuards guards)
    : AgentCore(std::move(identity), std::move(seed_entry_addresses), std::move(guards),
                TaskStore::Limits(), StartedTickets::kDefaultTasks, SealedTickets::Limits()) {}

AgentCore::AgentCore(AgentIdentity identity, std::vector<std::string> seed_entry_addresses,
                     AgentGuards guards, TaskStore::Limits task_limits, std::size_t started_tasks,
                     SealedTickets::Limits sealed_limits)
    : identity(std::move(identity)),
      guards(std::move(guards)),
      configuration(std::make_shared<ServiceConfiguration>()),
      store(task_limits),
      started(started_tasks),
      sealed(sealed_limits),
      channels([this](const Incarnation& owner) {
        return !this->store.HasUnfinished(owner) && !this->outcomes.HasPending(owner);
      }),
      resources(this->identity.worker),
      announcer(seed_entry_addresses,
                [this](const std::string& address) { return this->HoldsTasksOfEntryAt(address); }) {
  this->announcer.SetStateHook([this](const std::string& address, Announcer::EntryState state) {
    this->AddLogEvent(2032, "entry_state_changed",
                      "entry=" + address + " state=" + std::string(EntryStateText(state)));
  });
}

std::vector<AgentAction> AgentCore::Handle(Time time, const AgentEvent& event) {
  this->now = time;
  this->LogProcessPause();
  this->ReleaseExpiredHolds();
  std::visit([this](const auto& concrete) { this->On(concrete); }, event);
  this->FailExpiredTasks();
  this->StopOverdueRuns();
  this->StartQueuedTasks();
  this->PauseLeasesIfForbidden();
  this->RenewDueLeases();
  this->CheckEndpointIfDue();
  this->PollUsageIfDue();
  this->SendDueOutcomes();
  this->AnnounceIfDue();
  this->LogIfUnused();
  this->ForgetClosedOwners();
  this->store.DiscardExpired(this->now);
  this->DepartIfDone();
  this->previous = this->now;
  return std::exchange(this->actions, {});
}

AgentLoad AgentCore::CurrentLoad() const {
  AgentLoad load;
  load.clock = std::chrono::duration_cast<Microseconds>(this->now.time_since_epoch());
  if (!this->leaving && !this->evacuated && this->endpoint.IsUp()) {
    const Resources free = this->FreeForNewTasks();
    const WorkerCapacity& worker = this->identity.worker;
    load.free_slots = static_cast<int>(std::max<std::int64_t>(0, free.slots));
    load.free_cores = worker.cores > 0 ? static_cast<double>(free.millicores) / 1000 : 0;
    load.free_memory_mb = worker.memory_mb > 0 ? free.memory_mb : 0;
    load.free_accelerators = static_cast<int>(free.accelerators);
  }
  load.queued = static_cast<int>(this->store.Queued());
  load.configuration_version = this->configuration->version;
  load.leaving = this->leaving;
  load.speed = this->speed.Speed(this->now);
  load.evacuation_version = this->evacuation_version;
  load.evacuated = this->evacuated;
  return load;
}

void AgentCore::LogProcessPause() {
  if (this->previous && this->now - *this->previous >= kMinLoggedPause) {
    const auto gap = std::chrono::duration_cast<Milliseconds>(this->now - *this->previous);
    this->AddLogEvent(2023, "resumed_after_gap", "gap_ms=" + std::to_string(gap.count()));
  }
}

void AgentCore::AddLogEvent(int number, std::string_view name, std::string details) {
  this->actions.emplace_back(LogEvent{number, std::string(name), std::move(details)});
}

}  // namespace quetzalvale
