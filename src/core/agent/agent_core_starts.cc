// Acceptance of start requests and dispatch of queued tasks to the endpoint.
#include <algorithm>
#include <utility>

#include "core/agent/agent_core.h"
#include "core/agent/outcome_reasons.h"

namespace quetzalvale {
namespace {

/// A start is not passed to the endpoint later than this after its decision. Longer than a busy
/// process takes, and as long as a start message is accepted after it was made.
constexpr Milliseconds kStartValidity{250};

/// Number of later tasks that may delay a queued task before its resources are reserved. With run
/// times of 50 ms to 1 s and eight slots, the reservation takes effect within seconds.
constexpr int kMaxBypasses = 8;

const char* StopReasonText(RunWatchdog::Reason reason) {
  switch (reason) {
    case RunWatchdog::Reason::kWithdrawn:
      return "withdrawn";
    case RunWatchdog::Reason::kDeadline:
      return "deadline";
    case RunWatchdog::Reason::kOwnerSilent:
      return "owner_silent";
  }
  return "none";
}

/// Whether the start is another attempt after one that has ended without success, or did not run. A
/// task that must not be repeated starts again only if it did not run.
bool MayStartAgain(const TaskRecord& record, const StartItem& item) {
  return record.DidNotRun() || (record.FailedRepeatable() && item.attempt > record.attempt);
}

}  // namespace

void AgentCore::On(const StartReceived& event) {
  const StartRequest& message = event.message;
  StartReply reply;
  reply.agent = this->identity.incarnation;
  if (!this->guards.same_incarnation(this->identity.incarnation, message.agent)) {
    reply.decisions.assign(message.items.size(), StartRefusal::kWrongIncarnation);
  } else if (!this->guards.accept_sequence(this->channels, message.owner, message.channel_sequence,
                                           this->now)) {
    // The first copy of the message may have started the tasks, so a refusal could be false.
    reply.repeated = true;
    this->AddLogEvent(
        2018, "start_repeated",
        "owner=" + message.owner.Text() + " sequence=" + std::to_string(message.channel_sequence));
  } else {
    this->outcomes.HeardFrom(message.owner, message.owner_address, this->now);
    if (!this->IsPastAcceptUntil(message)) {
      this->watchdog.RecordOwnerContact(message.owner, this->DecisionTime(message));
    }
    for (const auto& item : message.items) {
      reply.decisions.push_back(this->DecideStart(message, item, &reply));
      // Whether the next task is refused as busy depends on the resources that this one takes.
      this->StartQueuedTasks();
    }
  }
  reply.load = this->CurrentLoad();
  this->actions.emplace_back(ReplyStart{event.request, std::move(reply)});
  this->announcer.AddEntry(message.owner_address, this->now);
  this->announcer.RecordTraffic(message.owner_address, this->now);
  this->FetchConfigurationIfNewer(message.configuration_version, message.owner_address);
}

StartRefusal AgentCore::DecideStart(const StartRequest& request, const StartItem& item,
                                    StartReply* reply) {
  const Ticket& ticket = item.task.ticket;
  if (ticket.owner != request.owner || ticket.service != this->identity.service) {
    return StartRefusal::kWrongIncarnation;
  }
  const TaskRecord* record = this->store.Find(item.task);
  if (record != nullptr && MayStartAgain(*record, item) && record->released) {
    // The owner has received the outcome of the earlier start, and places the task again.
    this->started.Forget(item.task);
    this->store.RemoveReleased(item.task);
    record = nullptr;
  }
  if (record != nullptr) {
    return this->DecideRecorded(*record, request, item, reply);
  }
  if (this->guards.query_started(this->started, item.task) != StartedStatus::kNever) {
    // A refusal would falsely state that the task did not run.
    this->AddLogEvent(2021, "already_started", "task=" + item.task.Text());
    reply->outcomes.push_back(FailedOutcome(item.task, kOutcomeUnknown));
    return StartRefusal::kNone;
  }
  return this->DecideUnrecorded(request, item);
}

StartRefusal AgentCore::DecideRecorded(const TaskRecord& record, const StartRequest& request,
                                       const StartItem& item, StartReply* reply) {
  if (MayStartAgain(record, item)) {
    // The outcome of the earlier start is still being delivered. Its acknowledgement would be
    // mistaken for that of the new start's outcome.
    return StartRefusal::kBusy;
  }
  if (record.state == TaskState::kFinished) {
    reply->outcomes.push_back(record.outcome);
  } else if (item.attempt > record.attempt) {
    // The owner did not learn that the earlier attempt goes on, which now counts as this one.
    this->store.SetChannelSequence(item.task, request.channel_sequence);
  }
  return StartRefusal::kNone;
}

StartRefusal AgentCore::DecideUnrecorded(const StartRequest& request, const StartItem& item) {
  if (this->guards.refuses_starts(this->leaving)) {
    return StartRefusal::kLeaving;
  }
  if (this->evacuated) {
    return StartRefusal::kEvacuated;
  }
  if (this->guards.is_sealed(this->sealed, item.task.ticket)) {
    return StartRefusal::kSealed;
  }
  if (!this->guards.has_time_left(this->now, this->now + item.time_left) ||
      (item.repeatable && this->IsPastAcceptUntil(request))) {
    return StartRefusal::kExpired;
  }
  if (!this->endpoint.IsUp()) {
    return StartRefusal::kEndpointDown;
  }
  const Resources declared = DeclaredBy(item.spec);
  if (this->IsBusy(declared) || !this->store.MakeRoom(item.spec.payload.size())) {
    return StartRefusal::kBusy;
  }
  TaskRecord record;
  record.channel_sequence = request.channel_sequence;
  record.kind = item.kind;
  record.declared = declared;
  record.payload = item.spec.payload;
  record.lease = request.lease > Milliseconds(0) ? request.lease : this->configuration->lease;
  record.deadline = this->now + item.time_left;
  record.repeatable = item.repeatable;
  record.attempt = item.attempt;
  record.expected = item.expected;
  if (item.start_within) {
    record.start_by = this->now + *item.start_within;
  }
  if (item.repeatable) {
    this->watchdog.Add(item.task, record.deadline);
  }
  this->store.Add(item.task, std::move(record));
  return StartRefusal::kNone;
}

bool AgentCore::IsPastAcceptUntil(const StartRequest& request) const {
  return request.accept_until.count() > 0 && this->now.time_since_epoch() >= request.accept_until;
}

Time AgentCore::DecisionTime(const StartRequest& request) const {
  if (request.accept_until.count() == 0) {
    return this->now;
  }
  return std::min(this->now, Time(request.accept_until - kStartAcceptWindow));
}

bool AgentCore::IsBusy(const Resources& task) const {
  if (!this->resources.EverFits(task)) {
    return true;
  }
  return this->store.Queued() >= this->configuration->agent_queue &&
         !this->MayStart(task, this->store.QueuedTasks());
}

void AgentCore::FailExpiredTasks() {
  for (const auto& task : this->store.QueuedTasks()) {
    if (!this->guards.has_time_left(this->now, this->store.Find(task)->deadline)) {
      this->FinishNotRun(task, kExpired);
    }
  }
}

void AgentCore::StopOverdueRuns() {
  for (const auto& [task, reason, stops] : this->watchdog.TakeDue(this->now)) {
    const TaskRecord* record = this->store.Find(task);
    if (record == nullptr || record->state == TaskState::kFinished) {
      this->watchdog.Remove(task);
    } else if (record->state == TaskState::kQueued) {
      this->FinishNotRun(task, kExpired);
    } else {
      this->AddLogEvent(2025, "attempt_ended",
                        "task=" + task.Text() + " owner=" + task.ticket.owner.Text() + " reason=" +
                            StopReasonText(reason) + " stops=" + std::to_string(stops));
      this->actions.emplace_back(StopOnEndpoint{task});
    }
  }
}

void AgentCore::PauseLeasesIfForbidden() {
  const bool pause = this->watchdog.ForbidsLeaseRenewal(this->now);
  if (pause == this->leases_paused) {
    return;
  }
  this->leases_paused = pause;
  this->AddLogEvent(2026, "leases_paused", pause ? "paused=true" : "paused=false");
  this->actions.emplace_back(PauseLeases{pause});
}

void AgentCore::StartQueuedTasks() {
  if (this->guards.refuses_starts(this->leaving)) {
    this->ReturnQueuedTasks();
    return;
  }
  if (!this->endpoint.IsUp()) {
    return;
  }
  std::vector<TaskKey> ahead;
  for (const auto& task : this->store.QueuedTasks()) {
    const TaskRecord& record = *this->store.Find(task);
    if (!this->guards.has_time_left(this->now, record.deadline)) {
      // After the process was suspended, the deadline may have passed before any tick noticed it.
      this->FinishNotRun(task, kExpired);
    } else if (this->MayStart(record.declared, ahead)) {
      this->Dispatch(task, ahead);
    } else {
      ahead.push_back(task);
    }
  }
}

void AgentCore::ReturnQueuedTasks() {
  for (const auto& task : this->store.QueuedTasks()) {
    this->FinishNotRun(task, kNotRun);
  }
}

bool AgentCore::MayStart(const Resources& task, std::span<const TaskKey> ahead) const {
  if (!this->guards.fits_now(this->resources, task)) {
    return false;
  }
  return std::ranges::none_of(ahead, [&](const TaskKey& earlier) {
    const TaskRecord& waiting = *this->store.Find(earlier);
    return waiting.times_bypassed >= kMaxBypasses &&
           Delays(this->resources.Free(), task, waiting.declared);
  });
}

Resources AgentCore::FreeForNewTasks() const {
  Resources free = this->resources.Free();
  for (const auto& task : this->store.QueuedTasks()) {
    const TaskRecord& waiting = *this->store.Find(task);
    if (waiting.times_bypassed >= kMaxBypasses) {
      free = FreeWithoutDelaying(free, waiting.declared);
    }
  }
  return free;
}

void AgentCore::Dispatch(const TaskKey& task, std::span<const TaskKey> ahead) {
  const Resources declared = this->store.Find(task)->declared;
  for (const auto& earlier : ahead) {
    if (Delays(this->resources.Free(), declared, this->store.Find(earlier)->declared)) {
      this->store.RecordBypass(earlier);
    }
  }
  this->resources.Reserve(declared);
  this->started.Record(task);
  StartOnEndpoint start;
  start.task = task;
  start.payload = this->store.Dispatch(task);
  start.declared = declared;
  const TaskRecord& record = *this->store.Find(task);
  start.kind = record.kind;
  start.lease = record.lease;
  start.attempt = record.attempt;
  start.time_left = std::chrono::duration_cast<Milliseconds>(record.deadline - this->now);
  if (record.repeatable) {
    // A start extends the lease of the worker, so it needs an owner that was heard lately.
    start.start_before = std::min({record.deadline, this->now + kStartValidity,
                                   this->watchdog.RenewalLimit(task.ticket.owner)});
  }
  this->speed.Started(task, record.expected, this->now);
  this->leases.Add(task, record.lease, this->now);
  this->actions.emplace_back(std::move(start));
}

}  // namespace quetzalvale
