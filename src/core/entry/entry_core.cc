#include "core/entry/entry_core.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

/// Ticks come at least every 100 ms. A longer gap between events than this means that the process
/// was paused and that messages received meanwhile are still to be handled.
constexpr Milliseconds kProcessPauseThreshold{500};

/// Interval at which timers other than job deadlines are checked.
constexpr Milliseconds kPeriodicWorkInterval{5};
constexpr std::chrono::seconds kExpiryInterval{1};

/// Limits for retained answers of repeatable jobs. Copies of a submission arrive up to a few
/// seconds after its answer.
constexpr std::size_t kMaxRepeatableAnswers = 4096;
constexpr std::chrono::seconds kRepeatableAnswerAge{15};

}  // namespace

EntryCore::EntryCore(EntryInfo self_info, std::vector<std::string> service_names,
                     std::vector<std::string> seed_addresses, std::uint64_t seed,
                     EntryGuards entry_guards, const EntryLimits& entry_limits)
    : self(std::move(self_info)),
      guards(std::move(entry_guards)),
      limits(entry_limits),
      random(seed),
      directory(this->self.incarnation),
      peers(this->self, seed_addresses) {
  this->repeatable_answers.SetLimits(kMaxRepeatableAnswers, kRepeatableAnswerAge);
  for (const std::string& name : service_names) {
    this->services.try_emplace(name, name, this->self.incarnation);
  }
}

std::vector<EntryAction> EntryCore::Handle(Time event_time, const EntryEvent& event) {
  this->Advance(event_time);
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  this->ProcessPendingWork();
  return std::exchange(this->actions, {});
}

void EntryCore::Advance(Time event_time) {
  const Time before = this->now;
  this->now = std::max(this->now, event_time);
  if (!this->started) {
    this->started = true;
    this->started_at = this->now;
  } else if (this->now - before > kProcessPauseThreshold) {
    this->grace_until = this->now + this->Health().heartbeat;
    this->Log(
        1001, "entry_paused",
        "gap_ms=" +
            std::to_string(std::chrono::duration_cast<Milliseconds>(this->now - before).count()));
  }
  for (const std::uint64_t job : this->jobs.Due(this->now)) {
    this->OnJobDue(job);
  }
  if (this->now >= this->next_periodic_work) {
    this->next_periodic_work = this->now + kPeriodicWorkInterval;
    this->RunPeriodicWork();
  }
}

void EntryCore::RunPeriodicWork() {
  this->RemoveDeadAgents();
  this->SendHellos();
  this->AdvanceForwards();
  this->AdvanceSalvages();
  this->SendAnswers();
  this->TellCancellations();
  this->withdrawals_due = true;
  if (this->now < this->next_expiry) {
    return;
  }
  this->next_expiry = this->now + kExpiryInterval;
  Time::duration retention{0};
  for (auto& [name, service] : this->services) {
    const auto& tickets = service.configuration->tickets;
    service.ledger.Expire(this->now);
    retention = std::max<Time::duration>(retention, tickets.valid + tickets.answer_kept);
  }
  this->UpdateQuotas();
  this->directory.Expire(retention, this->now);
  this->salvage_answers.Expire(this->now);
  this->repeatable_answers.Expire(this->now);
  this->cancellations.Expire(this->now);
  this->ExpireAdopted(retention);
}

void EntryCore::ProcessPendingWork() {
  this->UpdateMembers();
  for (auto& [name, service] : this->services) {
    if (std::exchange(service.jobs_at_risk, false)) {
      this->FailJobsWithoutAgents(service);
    }
    this->SelectWaitingJobs(service);
    this->PlaceTasks(service);
    this->RecordPlacements(service);
  }
  this->SendNotices();
  this->SendStarts();
  if (std::exchange(this->withdrawals_due, false)) {
    this->SendWithdrawals();
  }
  this->BroadcastRosterChange();
  this->AdvanceDeparture();
}

void EntryCore::On(const Tick& /*event*/) {}

void EntryCore::On(const EntriesRead& event) {
  for (const EntryInfo& entry : event.entries) {
    this->peers.AddTarget(entry.address, false, this->now);
  }
}

void EntryCore::On(const ConfigurationChanged& event) {
  if (!event.configuration) {
    return;
  }
  const std::string& name = event.configuration->service;
  ServiceState* service =
      &this->services.try_emplace(name, name, this->self.incarnation).first->second;
  if (!service->Apply(event.configuration)) {
    return;
  }
  this->directory.Bind(service->name, service->configuration->endpoints);
  service->jobs_at_risk = true;
  this->Log(
      1002, "configuration_applied",
      "service=" + service->name + " version=" + std::to_string(service->configuration->version));
}

ServiceState* EntryCore::FindService(std::string_view name) {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

const ServiceState* EntryCore::FindService(std::string_view name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

ServiceConfiguration::Health EntryCore::Health() const {
  for (const auto& [name, service] : this->services) {
    if (service.IsConfigured()) {
      return service.configuration->health;
    }
  }
  return {};
}

void EntryCore::Log(int number, std::string_view name, std::string details) {
  this->Emit(LogEvent{number, std::string(name), std::move(details)});
}

EntryStatus EntryCore::Status(Time status_time) const {
  EntryStatus status;
  status.self = this->self;
  status.leaving = this->IsLeaving();
  status.roster_number = this->directory.RosterNumber();
  status.peers = this->peers.LivePeers(this->Health().agent_dead, status_time);
  status.counters = this->counters;
  status.evacuations = this->evacuations.Current();
  status.evacuations_revoked.assign(this->evacuations.Revoked().begin(),
                                    this->evacuations.Revoked().end());
  for (const auto& [name, service] : this->services) {
    ServiceStatus entry;
    entry.service = name;
    entry.configuration_version = service.configuration->version;
    entry.peer_versions =
        this->peers.ConfigurationVersions(name, this->Health().agent_dead, status_time);
    entry.queued_tasks = service.queue.Size();
    entry.jobs_in_progress = this->jobs.Unanswered(name);
    for (const auto& [incarnation, agent] : this->directory.Agents()) {
      if (agent.announce.service != name) {
        continue;
      }
      entry.agents.push_back(
          {agent.announce.name, incarnation, agent.announce.address, agent.outstanding.size(),
           agent.leaving, !service.health.IsAvailable(agent.announce.name), this->IsLost(agent),
           agent.member, this->IsEvacuated(agent), agent.announce.load.configuration_version});
    }
    status.services.push_back(std::move(entry));
  }
  return status;
}

void EntryCore::SetPlacement(PlacementHook hook) { this->placement_override = std::move(hook); }

}  // namespace quetzalvale
