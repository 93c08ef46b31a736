// Endpoint results, health checks, usage reports and lease renewal.
#include <utility>

#include "core/agent/agent_core.h"
#include "core/agent/outcome_reasons.h"

namespace quetzalvale {
namespace {

/// Reason in EndpointRefused when no connection to the endpoint could be made.
constexpr std::string_view kUnreachable = "unreachable";

/// Usage is only logged, so a low polling rate is enough.
constexpr Milliseconds kUsagePollInterval{2000};

/// Cores and memory that the task did not declare are not limited.
bool ExceedsDeclared(const Resources& used, const Resources& declared) {
  return (declared.millicores > 0 && used.millicores > declared.millicores) ||
         (declared.memory_mb > 0 && used.memory_mb > declared.memory_mb) ||
         used.accelerators > declared.accelerators;
}

std::string FormatResources(const Resources& amounts) {
  return std::to_string(amounts.millicores) + "_millicores," + std::to_string(amounts.memory_mb) +
         "_mb," + std::to_string(amounts.accelerators) + "_accelerators";
}

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
      // A failure reason chosen by the endpoint must not look like the agent's proof that the task
      // did not run.
      outcome.reason = "endpoint_" + outcome.reason;
    }
  } else {
    this->AddLogEvent(2020, "task_connection_lost",
                      "task=" + event.task.Text() + " error=" + GetError(event.outcome).message);
    this->HoldUntilLeaseExpires(event.task);
    this->endpoint.MarkSuspect(this->now);
  }
  this->FinishRunning(event.task, std::move(outcome), false);
}

void AgentCore::On(const EndpointRefused& event) {
  const TaskRecord* record = this->store.Find(event.task);
  if (record == nullptr || record->state != TaskState::kRunning) {
    return;
  }
  this->AddLogEvent(2019, "task_refused_by_endpoint",
                    "task=" + event.task.Text() + " reason=" + event.reason);
  this->started.Forget(event.task);
  this->FinishRunning(event.task, FailedOutcome(event.task, kNotRun), true);
  if (event.reason == kUnreachable) {
    this->endpoint.MarkSuspect(this->now);
  }
}

void AgentCore::FinishRunning(const TaskKey& task, Outcome outcome, bool refused) {
  this->leases.Remove(task);
  this->watchdog.Remove(task);
  this->speed.Ended(task, outcome.ok, this->now);
  this->resources.Release(this->store.Find(task)->declared);
  this->store.Finish(task, std::move(outcome), refused);
  this->QueueOutcome(task);
}

void AgentCore::HoldUntilLeaseExpires(const TaskKey& task) {
  const TaskRecord& record = *this->store.Find(task);
  Resources declared = record.declared;
  // The worker refuses tasks while its slots are taken, so a slot needs no reservation until the
  // lease expires.
  declared.slots = 0;
  if (declared == Resources()) {
    return;
  }
  this->resources.Reserve(declared);
  // The last renewal was sent no later than now.
  this->held_resources.emplace(this->now + record.lease, declared);
}

void AgentCore::ReleaseExpiredHolds() {
  while (!this->held_resources.empty() && this->held_resources.begin()->first <= this->now) {
    this->resources.Release(this->held_resources.begin()->second);
    this->held_resources.erase(this->held_resources.begin());
  }
}

void AgentCore::PollUsageIfDue() {
  // Usage is only compared with declared resources; without any, the poll would be wasted.
  if (!this->resources.AnyTaskDeclaresResources() || this->now < this->next_usage_poll) {
    return;
  }
  this->next_usage_poll = this->now + kUsagePollInterval;
  this->actions.emplace_back(PollUsage{});
}

void AgentCore::On(const UsageReported& event) {
  for (const TaskUsage& usage : event.tasks) {
    const TaskRecord* record = this->store.Find(usage.task);
    if (record == nullptr || record->usage_logged || !DeclaresResources(record->declared)) {
      continue;
    }
    TaskSpec used;
    used.cores = usage.cores;
    used.memory_mb = usage.memory_mb;
    used.accelerators = usage.accelerators;
    if (ExceedsDeclared(DeclaredBy(used), record->declared)) {
      this->store.MarkUsageLogged(usage.task);
      this->AddLogEvent(2024, "usage_above_declaration",
                        "task=" + usage.task.Text() + " kind=" + record->kind +
                            " used=" + FormatResources(DeclaredBy(used)) +
                            " declared=" + FormatResources(record->declared));
    }
  }
}

void AgentCore::On(const EndpointChecked& event) {
  const bool was_up = this->endpoint.IsUp();
  const bool had_failed_before = this->endpoint.LastCheckFailed();
  const bool recovered = this->endpoint.CheckCompleted(event.up, this->now);
  if (recovered) {
    this->AddLogEvent(2010, "endpoint_up", "");
  }
  if (recovered || (!event.up && !had_failed_before)) {
    this->announcer.AnnounceNowToAll();
  }
  if (event.up) {
    return;
  }
  if (was_up) {
    this->AddLogEvent(2011, "endpoint_down", "queued=" + std::to_string(this->store.Queued()));
  }
  this->ReturnQueuedTasks();
}

void AgentCore::CheckEndpointIfDue() {
  if (this->endpoint.TakeDue(this->now)) {
    this->actions.emplace_back(CheckEndpoint{});
  }
}

void AgentCore::RenewDueLeases() {
  for (auto& renewal : this->leases.TakeDue(this->now)) {
    if (renewal.late > 0) {
      this->AddLogEvent(2012, "leases_late", "tasks=" + std::to_string(renewal.late));
    }
    this->actions.emplace_back(RenewLeases{std::move(renewal.tasks), renewal.lease});
  }
}

}  // namespace quetzalvale
