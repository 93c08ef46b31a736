// Answers and checks of the endpoint, and renewal of leases.
#include <utility>

#include "core/agent_core.h"
#include "core/outcome_reasons.h"

namespace quetzalvale {
namespace {

/// Reason of EndpointRefused that says that no connection to the endpoint was made.
constexpr std::string_view kUnreachable = "unreachable";

}  // namespace

void AgentCore::On(const EndpointFinished& event) {
  const TaskRecord* record = this->store.Find(event.task);
  if (record == nullptr || record->state != TaskState::kRunning) {
    return;
  }
  Outcome outcome = FailedOutcome(event.task, kEndpointLost);
  if (IsOk(event.outcome)) {
    outcome = std::get<Outcome>(event.outcome);
    if (!outcome.ok && ProvesNotRun(outcome.reason)) {
      // The endpoint's own word for a failure must not pass for the agent's proof.
      outcome.reason = "endpoint_" + outcome.reason;
    }
  } else {
    this->LogLine(2020, "task_connection_lost",
                  "task=" + event.task.Text() + " error=" + GetError(event.outcome).message);
    this->endpoint.Suspect(this->now);
  }
  this->leases.Remove(event.task);
  this->store.Finish(event.task, std::move(outcome));
  this->Deliver(event.task);
}

void AgentCore::On(const EndpointRefused& event) {
  const TaskRecord* record = this->store.Find(event.task);
  if (record == nullptr || record->state != TaskState::kRunning) {
    return;
  }
  this->LogLine(2019, "task_refused_by_endpoint",
                "task=" + event.task.Text() + " reason=" + event.reason);
  this->leases.Remove(event.task);
  this->started.Forget(event.task);
  this->store.Finish(event.task, FailedOutcome(event.task, kNotRun), true);
  this->Deliver(event.task);
  if (event.reason == kUnreachable) {
    this->endpoint.Suspect(this->now);
  }
}

void AgentCore::On(const EndpointChecked& event) {
  const bool was_up = this->endpoint.IsUp();
  const bool tell = this->endpoint.Checked(event.up, this->now);
  if (tell) {
    this->LogLine(2010, "endpoint_up", "");
    this->announcer.AnnounceNowToAll();
  }
  if (event.up) {
    return;
  }
  if (was_up) {
    this->LogLine(2011, "endpoint_down", "queued=" + std::to_string(this->store.Queued()));
  }
  for (const auto& task : this->store.QueuedTasks()) {
    this->FinishNotRun(task, kNotRun);
  }
}

void AgentCore::CheckEndpointIfDue() {
  if (this->endpoint.TakeDue(this->now)) {
    this->actions.emplace_back(CheckEndpoint{});
  }
}

void AgentCore::RenewDueLeases() {
  for (auto& renewal : this->leases.TakeDue(this->now)) {
    if (renewal.late > 0) {
      this->LogLine(2012, "leases_late", "tasks=" + std::to_string(renewal.late));
    }
    this->actions.emplace_back(RenewLeases{std::move(renewal.tasks), renewal.lease});
  }
}

}  // namespace quetzalvale
