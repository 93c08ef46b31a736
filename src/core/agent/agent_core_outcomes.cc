// Delivery of outcomes to the owners of their tasks.
#include <algorithm>
#include <utility>

#include "core/agent/agent_core.h"
#include "core/agent/outcome_reasons.h"

namespace quetzalvale {
namespace {

/// Longest time a successful outcome waits to share a message with outcomes of the same job. The
/// entry's information about this agent's free capacity is at least this old anyway.
constexpr Milliseconds kMaxSiblingWait{20};

}  // namespace

void AgentCore::FinishNotRun(const TaskKey& task, std::string_view reason) {
  this->watchdog.Remove(task);
  this->store.Finish(task, FailedOutcome(task, reason));
  this->QueueOutcome(task);
}

void AgentCore::QueueOutcome(const TaskKey& task) {
  const bool ok = this->store.Find(task)->outcome.ok;
  const Milliseconds max_wait =
      ok && this->JobHasUnfinishedTasks(task) ? kMaxSiblingWait : Milliseconds(0);
  if (!this->outcomes.Add(task, this->now, max_wait)) {
    this->store.Release(task, this->now);
  }
}

bool AgentCore::JobHasUnfinishedTasks(const TaskKey& task) const {
  return std::ranges::any_of(this->store.TasksOf(task.ticket), [this](const TaskKey& other) {
    return this->store.Find(other)->state != TaskState::kFinished;
  });
}

void AgentCore::Release(const std::vector<TaskKey>& tasks) {
  for (const auto& task : tasks) {
    this->store.Release(task, this->now);
  }
}

void AgentCore::On(const OutcomesReplied& event) {
  if (!IsOk(event.reply)) {
    this->outcomes.Failed(event.owner, this->now);
    return;
  }
  const auto& reply = std::get<OutcomesReply>(event.reply);
  const std::string address = this->outcomes.AddressOf(event.owner);
  if (reply.owner == event.owner) {
    this->Release(this->outcomes.Acknowledged(event.owner, event.tasks, this->now));
    this->watchdog.RecordOwnerContact(event.owner, event.sent);
    this->announcer.RecordTraffic(address, this->now);
  } else {
    const std::vector<TaskKey> tasks = this->outcomes.GiveUp(event.owner);
    this->Release(tasks);
    this->announcer.AnnounceNow(address);
    this->AddLogEvent(2014, "owner_gone",
                      "owner=" + event.owner.Text() + " successor=" + reply.owner.Text() +
                          " outcomes=" + std::to_string(tasks.size()));
  }
  this->FetchConfigurationIfNewer(reply.configuration_version, address);
}

void AgentCore::SendDueOutcomes() {
  for (const auto& given_up : this->outcomes.GiveUpUnreachable(this->now)) {
    this->Release(given_up.tasks);
    this->AddLogEvent(
        2014, "owner_gone",
        "owner=" + given_up.owner.Text() + " outcomes=" + std::to_string(given_up.tasks.size()));
  }
  for (const auto& batch : this->outcomes.TakeDue(this->now)) {
    SendOutcomes send;
    send.address = batch.address;
    send.message.agent = this->identity.incarnation;
    send.message.owner = batch.owner;
    send.message.load = this->CurrentLoad();
    send.sent = this->now;
    for (const auto& task : batch.tasks) {
      send.message.outcomes.push_back(this->store.Find(task)->outcome);
    }
    this->outcomes_sent += batch.first_sent;
    this->messages_with_new_outcomes += batch.first_sent > 0 ? 1 : 0;
    this->outcomes_resent += batch.tasks.size() - batch.first_sent;
    this->actions.emplace_back(std::move(send));
  }
}

void AgentCore::ForgetClosedOwners() {
  for (const auto& owner : this->channels.TakeClosed()) {
    this->started.CloseOwner(owner);
    this->outcomes.Forget(owner);
    this->AddLogEvent(2022, "owner_closed", "owner=" + owner.Text());
  }
}

}  // namespace quetzalvale
