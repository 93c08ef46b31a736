// Withdrawal of tasks, and sealing of tickets before salvage.
#include <utility>

#include "core/agent/agent_core.h"
#include "core/agent/outcome_reasons.h"

namespace quetzalvale {

void AgentCore::On(const WithdrawReceived& event) {
  const WithdrawRequest& message = event.message;
  WithdrawReply reply;
  reply.agent = this->identity.incarnation;
  if (this->guards.same_incarnation(this->identity.incarnation, message.agent)) {
    // Not a contact for the watchdog: an entry repeats withdrawals to an agent that it does not
    // hear and soon gives up, whose runs must end.
    this->outcomes.HeardFrom(message.owner, std::string(), this->now);
    for (const auto& item : message.items) {
      reply.reports.push_back(this->Withdraw(message, item));
    }
  }
  this->StartQueuedTasks();
  reply.load = this->CurrentLoad();
  this->actions.emplace_back(ReplyWithdraw{event.request, std::move(reply)});
}

TaskReport AgentCore::Withdraw(const WithdrawRequest& request, const WithdrawItem& item) {
  this->guards.accept_sequence(this->channels, request.owner, item.channel_sequence, this->now);
  const TaskRecord* record = this->store.Find(item.task);
  const bool own = item.task.ticket.owner == request.owner;
  if (record == nullptr || !own) {
    return this->MakeReport(item.task);
  }
  if (record->FailedRepeatable() && item.channel_sequence > record->channel_sequence) {
    // The record is of an earlier attempt: the start of this one was lost, and cannot arrive any
    // more.
    return TaskReport{item.task, TaskStatus::kNotRun, std::nullopt};
  }
  // A delayed duplicate of an earlier withdrawal must not withdraw a later start.
  const bool stale = item.channel_sequence < record->channel_sequence;
  if (record->state == TaskState::kQueued && !stale) {
    this->watchdog.Remove(item.task);
    this->store.RemoveQueued(item.task);
  } else if (record->state == TaskState::kRunning && request.stop_running && !stale) {
    // The stop is sent at the end of this event, and again until the run has ended.
    this->watchdog.Withdraw(item.task, this->now);
  }
  return this->MakeReport(item.task);
}

TaskReport AgentCore::MakeReport(const TaskKey& task) const {
  TaskReport report{task, TaskStatus::kNotRun, std::nullopt};
  const TaskRecord* record = this->store.Find(task);
  if (record == nullptr) {
    if (this->guards.query_started(this->started, task) != StartedStatus::kNever) {
      report.status = TaskStatus::kFinished;
      report.outcome = FailedOutcome(task, kOutcomeUnknown);
    }
  } else if (record->state != TaskState::kFinished) {
    report.status = TaskStatus::kRunning;
  } else if (!record->DidNotRun()) {
    report.status = TaskStatus::kFinished;
    report.outcome = record->outcome;
  }
  return report;
}

void AgentCore::On(const SealReceived& event) {
  const Ticket& ticket = event.message.ticket;
  this->sealed.Seal(ticket);
  if (this->sealed.AllSealed()) {
    this->AddLogEvent(2017, "all_sealed", "ticket=" + ticket.Text());
  }
  SealReply reply;
  reply.agent = this->identity.incarnation;
  reply.maybe_started = this->MaybeStarted(ticket);
  for (const auto& task : this->store.TasksOf(ticket)) {
    if (this->store.Find(task)->state == TaskState::kQueued) {
      this->FinishNotRun(task, kNotRun);
    }
    reply.reports.push_back(this->MakeReport(task));
  }
  this->AddLogEvent(2013, "ticket_sealed",
                    "ticket=" + ticket.Text() + " sealer=" + event.message.sealer.Text() +
                        " recorded=" + std::to_string(reply.reports.size()));
  this->actions.emplace_back(ReplySeal{event.request, std::move(reply)});
}

bool AgentCore::MaybeStarted(const Ticket& ticket) const {
  if (this->started.IsBelowWatermark(ticket)) {
    return true;
  }
  std::size_t recorded = 0;
  for (const auto& task : this->store.TasksOf(ticket)) {
    const TaskRecord* record = this->store.Find(task);
    recorded += record->dispatched && !record->refused ? 1 : 0;
  }
  return this->started.CountOf(ticket) > recorded;
}

}  // namespace quetzalvale
