// Settlement of starts: each is settled by its reply, an outcome or a withdrawal.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "core/agent/outcome_reasons.h"
#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Backoff after an agent could not take a start: the first pause, which doubles each time, and the
/// longest.
constexpr Milliseconds kInitialPause{100};
constexpr Milliseconds kMaxPause{2000};

/// Whether the outcome proves that the task did not run although the agent had accepted it.
bool ProvesNotRun(const Outcome& outcome) {
  return !outcome.ok && quetzalvale::ProvesNotRun(outcome.reason);
}

}  // namespace

Task* EntryCore::FindSentTask(const TaskRef& ref, const Incarnation& agent,
                              std::uint64_t sequence) {
  Job* job = this->jobs.Find(ref.job);
  if (job == nullptr || ref.index >= job->tasks.size()) {
    return nullptr;
  }
  Task& task = job->tasks[ref.index];
  const bool same =
      task.state == JobTaskState::kSent && task.agent == agent && task.channel_sequence == sequence;
  return same ? &task : nullptr;
}

void EntryCore::PauseAgent(Agent& agent) {
  agent.pause = std::clamp(agent.pause * 2, kInitialPause, kMaxPause);
  agent.paused_until = this->now + agent.pause;
}

void EntryCore::On(const StartReplied& event) {
  Agent* agent = this->directory.Find(event.agent);
  if (agent == nullptr) {
    return;
  }
  auto node = agent->starts.extract(event.channel_sequence);
  if (node.empty()) {
    return;
  }
  const std::vector<TaskRef> tasks = std::move(node.mapped().tasks);
  this->round_trips.Note(node.mapped().sent_at, this->now);
  agent->unreported.Remove(node.mapped().sent);
  if (const auto* reply = std::get_if<StartReply>(&event.reply)) {
    this->SettleStart(*reply, event.agent, event.channel_sequence, tasks);
    return;
  }
  const bool not_sent = this->guards.never_sent(GetError(event.reply));
  if (not_sent) {
    this->PauseAgent(*agent);
  }
  for (const TaskRef& ref : tasks) {
    if (this->FindSentTask(ref, event.agent, event.channel_sequence) == nullptr) {
      continue;
    }
    if (not_sent) {
      this->OnProvenNotRun(ref);
    } else {
      this->Withdraw(ref, false);
    }
  }
}

void EntryCore::SettleStart(const StartReply& reply, const Incarnation& agent,
                            std::uint64_t sequence, const std::vector<TaskRef>& tasks) {
  if (reply.agent != agent) {
    // Another process now has the agent's address. The former one may have received the start
    // before it was replaced.
    this->RemoveAgent(agent, true);
    return;
  }
  this->RecordLoad(agent, reply.load);
  for (const Outcome& outcome : reply.outcomes) {
    this->ApplyOutcome(agent, outcome);
  }
  const bool decided = !reply.repeated && reply.decisions.size() == tasks.size();
  bool refused = false;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    if (this->FindSentTask(tasks[i], agent, sequence) == nullptr) {
      continue;
    }
    if (!decided) {
      this->Withdraw(tasks[i], false);
    } else if (reply.decisions[i] != StartRefusal::kNone) {
      refused = true;
      this->OnRefusal(tasks[i], agent, reply.decisions[i]);
    }
  }
  Agent* known = this->directory.Find(agent);
  if (known != nullptr && !refused) {
    known->pause = Milliseconds{0};
  }
}

void EntryCore::OnRefusal(const TaskRef& task, const Incarnation& incarnation,
                          StartRefusal refusal) {
  Agent& agent = *this->directory.Find(incarnation);
  ServiceState* service = this->FindService(agent.announce.service);
  switch (refusal) {
    case StartRefusal::kLeaving:
      agent.leaving = true;
      service->members_changed = true;
      service->jobs_at_risk = true;
      break;
    case StartRefusal::kSealed:
      if (Job* job = this->jobs.Find(task.job)) {
        job->excluded_agents.push_back(incarnation);
      }
      service->jobs_at_risk = true;
      break;
    case StartRefusal::kBusy:
    case StartRefusal::kEndpointDown:
      // Without a pause, an agent that refuses a task although it reports enough free resources for
      // it would be chosen again immediately.
      if (refusal == StartRefusal::kEndpointDown || this->HasFreeResourcesFor(task, agent)) {
        if (this->now >= agent.paused_until) {
          this->PauseAgent(agent);
        }
      }
      break;
    default:
      break;
  }
  this->OnProvenNotRun(task);
}

bool EntryCore::HasFreeResourcesFor(const TaskRef& ref, const Agent& agent) {
  const Job* job = this->jobs.Find(ref.job);
  return job != nullptr && agent.FreeResources().Covers(DeclaredBy(job->tasks[ref.index].spec));
}

void EntryCore::OnProvenNotRun(const TaskRef& ref) {
  Job& job = *this->jobs.Find(ref.job);
  Task& task = job.tasks[ref.index];
  if (job.failure || job.answered) {
    this->EndTask(job, ref.index, JobTaskState::kNotRun);
    this->TryAnswer(job);
    return;
  }
  bool evacuated = false;
  if (Agent* agent = this->directory.Find(task.agent)) {
    agent->outstanding.erase(ref);
    agent->withdrawals.Remove(ref);
    evacuated = this->IsEvacuated(*agent);
  }
  // All tasks that waited in an evacuated data centre return at once, more than the retry budget
  // covers. They cannot return from there again.
  task.refusals += evacuated ? 0 : 1;
  task.state = JobTaskState::kWaiting;
  task.agent = {};
  task.channel_sequence = 0;
  ServiceState& service = *this->FindService(job.ticket.service);
  service.jobs_at_risk = service.jobs_at_risk || evacuated;
  service.placed_work -= task.expected;
  QueueTask(service, job, ref.index);
}

bool EntryCore::MayRerun(const Job& job, const Task& task, std::string_view reason) const {
  if (!job.IsRepeatable() || job.failure || job.answered || job.deadline <= this->now) {
    return false;
  }
  if (reason.empty() || IsInterruption(reason)) {
    return true;
  }
  return task.failures < job.attempts;
}

void EntryCore::QueueRerun(Job& job, std::uint32_t index) {
  const TaskRef ref{job.id, index};
  Task& task = job.tasks[index];
  ServiceState& service = *this->FindService(job.ticket.service);
  if (Agent* agent = this->directory.Find(task.agent)) {
    agent->outstanding.erase(ref);
    agent->withdrawals.Remove(ref);
    service.jobs_at_risk = service.jobs_at_risk || this->IsEvacuated(*agent);
  }
  task.state = JobTaskState::kWaiting;
  task.agent = {};
  task.channel_sequence = 0;
  task.runs = false;
  task.ran_before = true;
  QueueTask(service, job, index);
}

void EntryCore::Withdraw(const TaskRef& ref, bool stop_running) {
  const Task& task = this->jobs.Find(ref.job)->tasks[ref.index];
  if (Agent* agent = this->directory.Find(task.agent)) {
    agent->withdrawals.Add(ref, stop_running, this->now);
    this->withdrawals_due = true;
  }
}

std::vector<WithdrawItem> EntryCore::WithdrawItems(std::span<const TaskRef> tasks) const {
  std::vector<WithdrawItem> items;
  for (const TaskRef& ref : tasks) {
    const Job& job = *this->jobs.Find(ref.job);
    items.push_back({job.tasks[ref.index].channel_sequence, {job.ticket, ref.index}});
  }
  return items;
}

void EntryCore::SendWithdrawals() {
  for (auto& [incarnation, agent] : this->directory.Agents()) {
    if (agent.withdrawals.Size() == 0) {
      continue;
    }
    const auto batch = agent.withdrawals.TakeBatch(this->now);
    if (!batch) {
      continue;
    }
    WithdrawRequest request;
    request.owner = this->self.incarnation;
    request.agent = incarnation;
    request.stop_running = batch->stop_running;
    request.items = this->WithdrawItems(batch->tasks);
    ++this->counters.withdrawals;
    this->Emit(SendWithdraw{agent.announce.address, std::move(request)});
  }
}

void EntryCore::On(const WithdrawReplied& event) {
  Agent* agent = this->directory.Find(event.agent);
  if (agent == nullptr) {
    return;
  }
  const auto* reply = std::get_if<WithdrawReply>(&event.reply);
  if (reply == nullptr) {
    agent->withdrawals.OnFailed(this->now);
    return;
  }
  if (reply->agent != event.agent) {
    this->RemoveAgent(event.agent, true);
    return;
  }
  this->RecordLoad(event.agent, reply->load);
  std::vector<TaskRef> asked;
  for (const WithdrawItem& item : event.items) {
    if (const Job* job = this->jobs.Find(item.task.ticket)) {
      asked.push_back({job->id, item.task.index});
    }
  }
  for (const TaskReport& report : reply->reports) {
    this->ApplyReport(event, report);
  }
  agent->withdrawals.OnAnswered(asked, this->now);
}

void EntryCore::ApplyReport(const WithdrawReplied& event, const TaskReport& report) {
  Job* job = this->jobs.Find(report.task.ticket);
  const auto item = std::ranges::find_if(
      event.items, [&](const WithdrawItem& asked) { return asked.task == report.task; });
  if (job == nullptr || item == event.items.end()) {
    return;
  }
  const TaskRef ref{job->id, report.task.index};
  // The report is about the start in the request; the task may have been placed again since.
  Task* task = this->FindSentTask(ref, event.agent, item->channel_sequence);
  if (task == nullptr) {
    return;
  }
  if (report.status == TaskStatus::kNotRun) {
    this->OnProvenNotRun(ref);
  } else if (report.status == TaskStatus::kFinished && report.outcome) {
    this->ApplyOutcome(event.agent, *report.outcome);
  } else {
    task->runs = true;
    this->TryAnswer(*job);
  }
}

void EntryCore::On(const OutcomesReceived& event) {
  const ServiceState* service = nullptr;
  const Agent* agent = this->directory.Find(event.message.agent);
  if (agent != nullptr) {
    service = this->FindService(agent->announce.service);
  }
  this->Emit(ReplyOutcomes{
      event.request,
      {this->self.incarnation, service == nullptr ? 0 : service->configuration->version}});
  if (event.message.owner != this->self.incarnation) {
    return;
  }
  for (const Outcome& outcome : event.message.outcomes) {
    this->ApplyOutcome(event.message.agent, outcome);
  }
  this->RecordLoad(event.message.agent, event.message.load);
}

void EntryCore::ApplyOutcome(const Incarnation& incarnation, const Outcome& outcome) {
  Job* job = this->jobs.Find(outcome.task.ticket);
  const std::uint32_t index = outcome.task.index;
  if (job == nullptr || index >= job->tasks.size()) {
    return;
  }
  Task& task = job->tasks[index];
  if (task.state != JobTaskState::kSent || task.agent != incarnation) {
    return;
  }
  const bool of_earlier_attempt = job->IsRepeatable() && !outcome.ok &&
                                  outcome.channel_sequence != 0 &&
                                  outcome.channel_sequence != task.channel_sequence;
  if (of_earlier_attempt) {
    // It was sent again because its acknowledgement was lost; the task has been placed again.
    return;
  }
  if (ProvesNotRun(outcome)) {
    if (outcome.channel_sequence != task.channel_sequence) {
      return;
    }
    // The endpoint refused the task although the agent assumed that it had capacity.
    Agent* refusing = this->directory.Find(incarnation);
    if (refusing != nullptr && !this->IsEvacuated(*refusing)) {
      this->PauseAgent(*refusing);
    }
    this->OnProvenNotRun({job->id, index});
    return;
  }
  task.ended_at = this->now;
  task.run_time = outcome.run_time;
  const Agent* agent = this->directory.Find(incarnation);
  ServiceState& service = *this->FindService(job->ticket.service);
  const bool cancelled = job->failure && (job->failure->reason == "cancelled" ||
                                          job->failure->reason == kCancelledByRequest);
  // A task that was stopped does not count as a failure of the endpoint.
  const bool stopped = cancelled || outcome.reason == kInterrupted;
  if (agent != nullptr && (outcome.ok || !stopped)) {
    const std::string& name = agent->announce.name;
    if (service.health.Record(name, outcome.ok, this->now)) {
      this->Log(1003, "agent_ejected", "agent=" + name);
    }
    if (outcome.ok) {
      service.renewal.RunEnded(job->kind, this->now);
      service.model.Observe(
          job->kind, name, std::chrono::duration_cast<Microseconds>(task.spec.declared_run_time),
          Microseconds(
              std::llround(static_cast<double>(outcome.run_time.count()) / task.run_factor)));
    }
  }
  if (outcome.ok) {
    if (!job->answered) {
      task.result = outcome.result;
    }
    this->EndTask(*job, index, JobTaskState::kDone);
    this->TryAnswer(*job);
    return;
  }
  if (!IsInterruption(outcome.reason)) {
    ++task.failures;
    task.failed_on.push_back(incarnation);
  }
  if (this->MayRerun(*job, task, outcome.reason)) {
    this->QueueRerun(*job, index);
    return;
  }
  this->EndTask(*job, index, JobTaskState::kFailed);
  const std::string problem = "task " + std::to_string(index) + " failed: " + outcome.reason;
  if (outcome.reason == kOutcomeUnknown) {
    this->FailJob(*job, "outcome_unknown", problem, false);
  } else if (!job->IsRepeatable() || task.failures >= job->attempts) {
    this->FailJob(*job, "task_failed", problem, false);
  } else {
    this->FailJob(*job, "deadline", problem + "; no time is left for another attempt", false);
  }
}

}  // namespace quetzalvale
