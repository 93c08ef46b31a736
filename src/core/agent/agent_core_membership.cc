// Announcements to entries, configuration updates and leaving.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "core/agent/agent_core.h"
#include "core/agent/outcome_reasons.h"

namespace quetzalvale {
namespace {

/// Backoff before requesting a configuration again that did not arrive or could not be parsed.
constexpr Milliseconds kMinFetchBackoff{1000};
constexpr Milliseconds kMaxFetchBackoff{60000};
/// Longest time for which a leaving agent without tasks keeps delivering outcomes. The jobs of an
/// owner that has not answered for a minute have been salvaged.
constexpr Milliseconds kMaxDeliveryTime{60000};
/// A leaving agent delivers outcomes of repeatable jobs to an owner until it has been silent for
/// this long. Longer than the 1,300 ms after which callers of a dead entry submit their jobs again.
constexpr Milliseconds kMaxRepeatableDeliveryTime{1500};
/// First log line about an agent that no entry uses. After a restart of all processes, entries need
/// a few seconds to read their configuration.
constexpr Milliseconds kMinLoggedUnusedTime{5000};
/// A leaving agent waits at most this long for entries that do not answer.
constexpr Milliseconds kMaxLeaveNoticeTime{5000};
/// Time after the entries know of the leaving during which the agent still refuses starts that were
/// already in flight. Without a refusal, the sender could not place the tasks elsewhere.
constexpr Milliseconds kLateStartGrace{500};

}  // namespace

void AgentCore::On(const AnnounceReplied& event) {
  if (!IsOk(event.reply)) {
    this->announcer.Failed(event.address, this->now);
    return;
  }
  const auto& reply = std::get<AnnounceReply>(event.reply);
  this->watchdog.RecordOwnerContact(reply.entry.incarnation, event.sent);
  this->announcer.Answered(event.address, reply, this->now);
  this->ApplyEvacuation(reply);
  const WithdrawRequest withdrawal{
      reply.entry.incarnation, this->identity.incarnation, {}, /*stop_running=*/true};
  for (const WithdrawItem& item : reply.withdrawn) {
    // The report goes with the answer to the withdrawal itself.
    this->Withdraw(withdrawal, item);
  }
  this->FetchConfigurationIfNewer(reply.configuration_version, event.address);
}

void AgentCore::On(const NoticeReceived& event) {
  const AnnounceReply& notice = event.message;
  this->announcer.HandleNotice(notice, this->now);
  // Before the reply, which tells the entry that the agent knows.
  this->ApplyEvacuation(notice);
  // Not a contact of the runs' owner: an entry repeats notices to an agent that it does not hear
  // and soon gives up, whose runs must end.
  this->announcer.RecordTraffic(notice.entry.address, this->now);
  this->actions.emplace_back(
      ReplyNotice{event.request, this->MakeHeartbeat(notice.entries_digest)});
  this->FetchConfigurationIfNewer(notice.configuration_version, notice.entry.address);
}

void AgentCore::On(const EntriesListed& event) {
  this->announcer.SetListed(event.addresses, this->now);
}

void AgentCore::ApplyEvacuation(const AnnounceReply& message) {
  const bool newer = message.evacuation_version > this->evacuation_version;
  // Entries may read the same version with and without a row that is being written. The row counts.
  const bool adds = message.evacuation_version == this->evacuation_version && message.evacuated;
  if (!newer && !adds) {
    return;
  }
  this->evacuation_version = message.evacuation_version;
  if (message.evacuated == this->evacuated) {
    return;
  }
  this->evacuated = message.evacuated;
  const std::string version = "version=" + std::to_string(this->evacuation_version);
  if (!this->evacuated) {
    this->AddLogEvent(2031, "evacuation_revoked", version);
    return;
  }
  this->AddLogEvent(2030, "evacuated",
                    version + " running=" + std::to_string(this->store.Running()) +
                        " queued=" + std::to_string(this->store.Queued()));
  this->ReturnQueuedTasks();
}

bool AgentCore::HoldsTasksOfEntryAt(const std::string& address) const {
  return this->outcomes.AnyOwnerAt(address, [this](const Incarnation& owner) {
    return this->store.HasUnfinished(owner) || this->outcomes.HasPending(owner);
  });
}

Announce AgentCore::MakeAnnounce() const {
  Announce message;
  message.agent = this->identity.incarnation;
  message.name = this->identity.name;
  message.service = this->identity.service;
  message.data_centre = this->identity.data_centre;
  message.address = this->identity.address;
  message.worker = this->identity.worker;
  message.load = this->CurrentLoad();
  message.labels = this->identity.labels;
  message.endpoint_incarnation = this->identity.endpoint_incarnation;
  return message;
}

Heartbeat AgentCore::MakeHeartbeat(std::uint64_t entries_digest) const {
  return {this->identity.incarnation, this->CurrentLoad(), entries_digest};
}

void AgentCore::AnnounceIfDue() {
  if (this->departed) {
    return;
  }
  for (const Announcer::Due& due : this->announcer.TakeDue(this->now)) {
    if (due.full) {
      this->actions.emplace_back(SendAnnounce{due.address, this->MakeAnnounce(), this->now});
    } else {
      this->actions.emplace_back(
          SendHeartbeat{due.address, this->MakeHeartbeat(due.entries_digest), this->now});
    }
  }
}

void AgentCore::LogIfUnused() {
  const auto since = this->announcer.UnusedSince();
  if (this->leaving || !since) {
    this->next_unused_log.reset();
    return;
  }
  if (!this->next_unused_log) {
    this->next_unused_log = *since + kMinLoggedUnusedTime;
  }
  if (this->now < *this->next_unused_log) {
    return;
  }
  const Time::duration unused = this->now - *since;
  this->next_unused_log = this->now + unused;
  using State = Announcer::EntryState;
  std::string details =
      "for_ms=" + std::to_string(std::chrono::duration_cast<Milliseconds>(unused).count());
  for (const State state :
       {State::kUnknown, State::kSilent, State::kUnrecorded, State::kRecorded, State::kMember}) {
    details += " " + std::string(EntryStateText(state)) + "=" +
               std::to_string(this->announcer.EntriesIn(state));
  }
  this->AddLogEvent(2033, "not_used", std::move(details));
}

void AgentCore::On(const AgentConfigurationChanged& event) {
  if (event.configuration->version <= this->configuration->version) {
    return;
  }
  this->configuration = event.configuration;
  this->announcer.SetIntervals(this->configuration->health);
  this->outcomes.SetBatching(this->configuration->batching.outcome_delay,
                             this->configuration->batching.batch_tasks);
  this->AddLogEvent(2004, "configuration_taken",
                    "version=" + std::to_string(this->configuration->version));
}

void AgentCore::FetchConfigurationIfNewer(std::uint64_t version, const std::string& address) {
  const bool already_requested = version <= this->requested_version;
  const bool backing_off = already_requested && this->now < this->next_fetch;
  if (version <= this->configuration->version || address.empty() || backing_off) {
    return;
  }
  this->fetch_backoff =
      already_requested ? std::min(this->fetch_backoff * 2, kMaxFetchBackoff) : kMinFetchBackoff;
  this->requested_version = version;
  this->next_fetch = this->now + this->fetch_backoff;
  this->actions.emplace_back(FetchConfiguration{address, version});
}

void AgentCore::On(const LeaveRequested& /*event*/) {
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->leaving_since = this->now;
  this->announcer.Leave();
  this->AddLogEvent(2015, "leaving",
                    "running=" + std::to_string(this->store.Running()) +
                        " queued=" + std::to_string(this->store.Queued()));
}

void AgentCore::On(const Tick& /*event*/) {}

bool AgentCore::HasUsefulOutcomes() const {
  const Time::duration idle = this->now - *this->idle_since;
  if (idle >= kMaxDeliveryTime) {
    return false;
  }
  return this->outcomes.AnyPending([this, idle](const TaskKey& task) {
    return !this->store.Find(task)->repeatable || idle < kMaxRepeatableDeliveryTime ||
           !this->watchdog.IsSilent(task.ticket.owner, this->now, kMaxRepeatableDeliveryTime);
  });
}

void AgentCore::DepartIfDone() {
  if (!this->leaving || this->departed || this->store.Running() + this->store.Queued() > 0) {
    return;
  }
  if (!this->idle_since) {
    this->idle_since = this->now;
  }
  const bool leave_known =
      this->announcer.AllKnowOfLeaving() || this->now - this->leaving_since >= kMaxLeaveNoticeTime;
  if (leave_known && !this->leave_known_since) {
    this->leave_known_since = this->now;
  }
  const std::size_t pending = this->outcomes.Pending();
  const bool delivered = !this->HasUsefulOutcomes();
  if (delivered && this->leave_known_since &&
      this->now - *this->leave_known_since >= kLateStartGrace) {
    this->departed = true;
    this->AddLogEvent(2016, "departed", "undelivered=" + std::to_string(pending));
    this->actions.emplace_back(Departed{});
  }
}

}  // namespace quetzalvale
