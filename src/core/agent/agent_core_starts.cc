// Acceptance of starts and hand-over of queued tasks to the endpoint.
#include <algorithm>
#include <utility>

#include "core/agent/agent_core.h"
#include "core/agent/outcome_reasons.h"

namespace quetzalvale {
namespace {

/// Later tasks that may delay a queued task before what it needs is reserved. At the usual run
/// times of 50 ms to 1 s and eight slots, the reservation begins within seconds.
constexpr int kMaxOvertaken = 8;

}  // namespace

void AgentCore::On(const StartReceived& event) {
  const StartRequest& message = event.message;
  StartReply reply;
  reply.agent = this->identity.incarnation;
  if (!this->guards.same_incarnation(this->identity.incarnation, message.agent)) {
    reply.decisions.assign(message.items.size(), StartRefusal::kWrongIncarnation);
  } else if (!this->guards.accept_sequence(this->channels, message.owner, message.channel_sequence,
                                           this->now)) {
    // The first copy may have started the tasks, so that no refusal would be true.
    reply.repeated = true;
    this->LogLine(
        2018, "start_repeated",
        "owner=" + message.owner.Text() + " sequence=" + std::to_string(message.channel_sequence));
  } else {
    this->outcomes.HeardFrom(message.owner, message.owner_address, this->now);
    if (!this->IsLate(message)) {
      this->attempts.Heard(message.owner, this->now);
    }
    for (const auto& item : message.items) {
      reply.decisions.push_back(this->Decide(message, item, &reply));
      // Whether the next task is refused as busy depends on what this one takes.
      this->FillSlots();
    }
  }
  reply.load = this->Load();
  this->actions.emplace_back(ReplyStart{event.request, std::move(reply)});
  this->announcer.Learn(message.owner_address, this->now);
  this->announcer.NoteTraffic(message.owner_address, this->now);
  this->NoteVersion(message.configuration_version, message.owner_address);
}

StartRefusal AgentCore::Decide(const StartRequest& request, const StartItem& item,
                               StartReply* reply) {
  const Ticket& ticket = item.task.ticket;
  if (ticket.owner != request.owner || ticket.service != this->identity.service) {
    return StartRefusal::kWrongIncarnation;
  }
  const TaskRecord* record = this->store.Find(item.task);
  if (record != nullptr && record->DidNotRun() && record->released) {
    // The owner has the proof that the earlier start did not run and places the task anew.
    this->store.RemoveNotRun(item.task);
    record = nullptr;
  }
  if (record != nullptr) {
    return this->DecideKnown(*record, reply);
  }
  if (this->guards.ask_started(this->started, item.task) != StartedAnswer::kNever) {
    // A refusal would claim that the task did not run.
    this->LogLine(2021, "already_started", "task=" + item.task.Text());
    reply->outcomes.push_back(FailedOutcome(item.task, kOutcomeUnknown));
    return StartRefusal::kNone;
  }
  return this->DecideNew(request, item);
}

StartRefusal AgentCore::DecideKnown(const TaskRecord& record, StartReply* reply) const {
  if (record.DidNotRun()) {
    // The outcome that proves it is still on its way, and its acknowledgement would be taken for
    // one of the new start's outcome.
    return StartRefusal::kBusy;
  }
  if (record.state == TaskState::kFinished) {
    reply->outcomes.push_back(record.outcome);
  }
  return StartRefusal::kNone;
}

StartRefusal AgentCore::DecideNew(const StartRequest& request, const StartItem& item) {
  if (this->guards.refuses_starts(this->leaving)) {
    return StartRefusal::kLeaving;
  }
  if (this->guards.is_sealed(this->sealed, item.task.ticket)) {
    return StartRefusal::kSealed;
  }
  if (!this->guards.has_time_left(this->now, this->now + item.time_left) ||
      (item.repeatable && this->IsLate(request))) {
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
  if (item.repeatable) {
    this->attempts.Add(item.task, record.deadline);
  }
  this->store.Add(item.task, std::move(record));
  return StartRefusal::kNone;
}

bool AgentCore::IsLate(const StartRequest& request) const {
  return request.accept_until.count() > 0 && this->now.time_since_epoch() >= request.accept_until;
}

bool AgentCore::IsBusy(const Resources& task) const {
  if (!this->resources.EverFits(task)) {
    return true;
  }
  return this->store.Queued() >= this->configuration->agent_queue &&
         !this->MayStart(task, this->store.QueuedTasks());
}

void AgentCore::EndExpired() {
  for (const auto& task : this->store.QueuedTasks()) {
    if (!this->guards.has_time_left(this->now, this->store.Find(task)->deadline)) {
      this->FinishNotRun(task, kExpired);
    }
  }
}

void AgentCore::EndAttempts() {
  for (const auto& task : this->attempts.TakeDue(this->now)) {
    const TaskRecord* record = this->store.Find(task);
    if (record == nullptr || record->state == TaskState::kFinished) {
      this->attempts.Remove(task);
    } else if (record->state == TaskState::kQueued) {
      this->FinishNotRun(task, kExpired);
    } else {
      this->LogLine(2025, "attempt_ended",
                    "task=" + task.Text() + " owner=" + task.ticket.owner.Text() +
                        " past_deadline=" + (this->now >= record->deadline ? "true" : "false"));
      this->actions.emplace_back(StopOnEndpoint{task});
    }
  }
}

void AgentCore::PauseLeasesIfSilent() {
  const bool pause = this->attempts.ForbidsExtension(this->now);
  if (pause == this->leases_paused) {
    return;
  }
  this->leases_paused = pause;
  this->LogLine(2026, "leases_paused", pause ? "paused=true" : "paused=false");
  this->actions.emplace_back(PauseLeases{pause});
}

void AgentCore::FillSlots() {
  if (!this->endpoint.IsUp()) {
    return;
  }
  std::vector<TaskKey> ahead;
  for (const auto& task : this->store.QueuedTasks()) {
    const TaskRecord& record = *this->store.Find(task);
    if (!this->guards.has_time_left(this->now, record.deadline)) {
      // After a freeze the time left may be over although no tick has said so yet.
      this->FinishNotRun(task, kExpired);
    } else if (this->MayStart(record.declared, ahead)) {
      this->HandOver(task, ahead);
    } else {
      ahead.push_back(task);
    }
  }
}

bool AgentCore::MayStart(const Resources& task, std::span<const TaskKey> ahead) const {
  if (!this->guards.fits_now(this->resources, task)) {
    return false;
  }
  return std::ranges::none_of(ahead, [&](const TaskKey& earlier) {
    const TaskRecord& waiting = *this->store.Find(earlier);
    return waiting.overtaken >= kMaxOvertaken &&
           Delays(this->resources.Free(), task, waiting.declared);
  });
}

Resources AgentCore::FreeForNewTasks() const {
  Resources free = this->resources.Free();
  for (const auto& task : this->store.QueuedTasks()) {
    const TaskRecord& waiting = *this->store.Find(task);
    if (waiting.overtaken >= kMaxOvertaken) {
      free = FreeWithoutDelaying(free, waiting.declared);
    }
  }
  return free;
}

void AgentCore::HandOver(const TaskKey& task, std::span<const TaskKey> ahead) {
  const Resources declared = this->store.Find(task)->declared;
  for (const auto& earlier : ahead) {
    if (Delays(this->resources.Free(), declared, this->store.Find(earlier)->declared)) {
      this->store.NoteOvertaken(earlier);
    }
  }
  this->resources.Reserve(declared);
  this->started.Note(task);
  StartOnEndpoint start;
  start.task = task;
  start.payload = this->store.HandOver(task);
  start.declared = declared;
  const TaskRecord& record = *this->store.Find(task);
  start.kind = record.kind;
  start.lease = record.lease;
  start.attempt = record.attempt;
  start.time_left = std::chrono::duration_cast<Milliseconds>(record.deadline - this->now);
  this->leases.Add(task, record.lease, this->now);
  this->actions.emplace_back(std::move(start));
}

}  // namespace quetzalvale
