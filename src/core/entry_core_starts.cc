// Placement of waiting tasks, and the settlement of every start.
#include <algorithm>
#include <string>
#include <utility>

#include "core/entry_core.h"

namespace quetzalvale {
namespace {

/// Tasks that the policy leaves waiting, or that no free agent may take, before a round ends.
constexpr std::uint32_t kMaxDeclined = 64;

/// Placements repeated in spite of an empty retry budget, so that a job of refused tasks does not
/// wait for other jobs to earn one.
constexpr Milliseconds kTricklePause{200};

/// An agent that could not take a start is left alone for this long, doubling.
constexpr Milliseconds kFirstPause{100};
constexpr Milliseconds kLongestPause{2000};

/// A report that says "full" is believed for this part of the heartbeat when the objective is
/// response time: the tasks of other entries end without a word to this one.
constexpr int kStalePart = 10;

bool Contains(const std::vector<Incarnation>& agents, const Incarnation& agent) {
  return std::ranges::find(agents, agent) != agents.end();
}

/// Reasons by which an agent proves that a task it had recorded did not run.
bool ProvesNotRun(const Outcome& outcome) {
  return !outcome.ok && (outcome.reason == "not_run" || outcome.reason == "expired");
}

bool Fits(const TaskSpec& spec, const WorkerCapacity& worker) {
  return (worker.cores <= 0 || spec.cores <= worker.cores) &&
         (worker.memory_mb <= 0 || spec.memory_mb <= worker.memory_mb) &&
         spec.accelerators <= std::max(0, worker.accelerators);
}

}  // namespace

bool EntryCore::HasRoom(const ServiceState& service, const Agent& agent) const {
  const auto& configuration = *service.configuration;
  const int own = static_cast<int>(agent.outstanding.size());
  const int queue = static_cast<int>(configuration.agent_queue);
  if (own >= agent.announce.worker.slots + queue) {
    return false;
  }
  if (agent.FreeSlots() > 0 || agent.Queued() < queue) {
    return true;
  }
  const Milliseconds believed = configuration.objective == Objective::kMessages
                                    ? configuration.health.heartbeat
                                    : configuration.health.heartbeat / kStalePart;
  return own == 0 && this->now - agent.load_at >= believed;
}

bool EntryCore::MakeUsable(ServiceState& service, Agent& agent, Usable& usable) {
  if (!agent.member || agent.leaving || this->IsLost(agent) || this->now < agent.paused_until ||
      !this->HasRoom(service, agent)) {
    return false;
  }
  const std::string& name = agent.announce.name;
  usable.probe = !service.health.IsAvailable(name);
  if (usable.probe && (!agent.outstanding.empty() || !service.health.MayProbe(name, this->now))) {
    return false;
  }
  usable.agent = &agent;
  Candidate& candidate = usable.candidate;
  candidate.agent = agent.announce.agent;
  candidate.name = name;
  candidate.slots = agent.announce.worker.slots;
  candidate.own_outstanding = static_cast<int>(agent.outstanding.size());
  candidate.free_slots = agent.FreeSlots();
  candidate.queued = agent.Queued();
  const int queue = static_cast<int>(service.configuration->agent_queue);
  if (candidate.free_slots == 0 && candidate.queued >= queue) {
    // The report is old, so one task finds out.
    candidate.free_slots = 1;
    candidate.queued = 0;
  }
  candidate.speed = service.model.Speed(name);
  candidate.same_data_centre = agent.announce.data_centre == this->self.data_centre;
  return true;
}

std::vector<EntryCore::Usable> EntryCore::UsableAgents(ServiceState& service) {
  std::vector<Usable> usable;
  for (auto& [incarnation, agent] : this->directory.Agents()) {
    Usable entry;
    if (agent.announce.service == service.name && this->MakeUsable(service, agent, entry)) {
      usable.push_back(entry);
    }
  }
  return usable;
}

void EntryCore::PlaceTasks(ServiceState& service) {
  if (service.queue.Size() == 0) {
    return;
  }
  std::vector<Usable> usable = this->UsableAgents(service);
  std::uint32_t declined = 0;
  const auto& items = service.queue.Items();
  for (auto next = items.begin(); next != items.end() && !usable.empty();) {
    // Placing the task takes it out of the queue.
    const StartQueue::Item item = *next++;
    Job& job = *this->jobs.Find(item.task.job);
    if (item.deadline <= this->now ||
        this->Place(service, job, item.task.index, usable, declined)) {
      continue;
    }
    if (++declined >= kMaxDeclined) {
      return;
    }
  }
}

bool EntryCore::Place(ServiceState& service, Job& job, std::uint32_t index,
                      std::vector<Usable>& usable, std::uint32_t waiting_ahead) {
  const Task& task = job.tasks[index];
  std::vector<std::size_t> positions;
  std::vector<Candidate> candidates;
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const Agent& agent = *usable[i].agent;
    if (agent.first_roster > job.ticket.roster || !Fits(task.spec, agent.announce.worker) ||
        Contains(job.excluded, agent.announce.agent) ||
        Contains(task.excluded, agent.announce.agent)) {
      continue;
    }
    if (usable[i].probe) {
      chosen = i;
      break;
    }
    Candidate candidate = usable[i].candidate;
    if (candidate.free_slots <= 0) {
      // On average half a run is left in the slot that frees itself next.
      const double runs = (0.5 + candidate.queued) / std::max(1, candidate.slots);
      candidate.expected_wait = Microseconds(static_cast<std::int64_t>(
          runs * static_cast<double>(task.expected.count()) / std::max(candidate.speed, 0.01)));
    }
    positions.push_back(i);
    candidates.push_back(candidate);
  }
  if (!chosen && !candidates.empty()) {
    PlacementQuery query;
    query.expected = task.expected;
    query.time_left = std::chrono::duration_cast<Microseconds>(job.deadline - this->now);
    query.waiting_ahead = waiting_ahead;
    const PlacementHook& hook =
        this->placement_override ? this->placement_override : service.placement;
    const auto position = hook(candidates, query, this->random);
    if (position && *position < positions.size()) {
      chosen = positions[*position];
    }
  }
  if (!chosen || !this->MayRetry(service, task)) {
    return false;
  }
  this->Assign(service, job, index, usable[*chosen]);
  Usable again;
  if (this->MakeUsable(service, *usable[*chosen].agent, again)) {
    usable[*chosen] = again;
  } else {
    usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(*chosen));
  }
  return true;
}

bool EntryCore::MayRetry(ServiceState& service, const Task& task) {
  if (task.refusals == 0) {
    return true;
  }
  if (service.retry_budget.TrySpend()) {
    return true;
  }
  if (this->now < service.next_trickle) {
    return false;
  }
  service.next_trickle = this->now + kTricklePause;
  return true;
}

void EntryCore::Assign(ServiceState& service, Job& job, std::uint32_t index, Usable& usable) {
  Task& task = job.tasks[index];
  Agent& agent = *usable.agent;
  const TaskRef ref{job.id, index};
  service.queue.Remove(ref);
  if (task.refusals == 0) {
    service.retry_budget.Earn();
  } else {
    ++this->counters.retries;
  }
  if (usable.probe) {
    service.health.ProbeSent(agent.announce.name, this->now);
  }
  task.state = JobTaskState::kBatched;
  task.agent = agent.announce.agent;
  task.channel_sequence = 0;
  task.runs = false;
  agent.outstanding[ref] = task.expected;
  ++agent.unreported;
  const auto& configuration = *service.configuration;
  const Microseconds delay = configuration.objective == Objective::kMessages
                                 ? configuration.batching.start_delay
                                 : Microseconds{0};
  this->batcher.Add(task.agent, ref, this->now, delay, configuration.batching.batch_tasks);
}

void EntryCore::SendStarts() {
  for (const StartBatcher::Batch& batch : this->batcher.TakeDue(this->now)) {
    this->SendBatch(batch);
  }
}

void EntryCore::SendBatch(const StartBatcher::Batch& batch) {
  // Agents that go take their tasks out of the batcher first.
  Agent& agent = *this->directory.Find(batch.agent);
  const ServiceState& service = *this->FindService(agent.announce.service);
  StartRequest request;
  request.owner = this->self.incarnation;
  request.owner_address = this->self.address;
  request.agent = batch.agent;
  request.lease = service.configuration->lease;
  request.configuration_version = service.configuration->version;
  std::vector<TaskRef> sent;
  for (const TaskRef& ref : batch.tasks) {
    Job& job = *this->jobs.Find(ref.job);
    const Task& task = job.tasks[ref.index];
    const auto left = std::chrono::duration_cast<Milliseconds>(job.deadline - this->now);
    if (left.count() < 1) {
      this->DropTask(job, ref.index);
      continue;
    }
    request.items.push_back({{job.ticket, ref.index}, job.kind, task.spec, left});
    sent.push_back(ref);
  }
  if (sent.empty()) {
    return;
  }
  request.channel_sequence = this->directory.NextChannelSequence(agent);
  for (const TaskRef& ref : sent) {
    Task& task = this->jobs.Find(ref.job)->tasks[ref.index];
    task.state = JobTaskState::kSent;
    task.channel_sequence = request.channel_sequence;
  }
  this->counters.tasks_started += sent.size();
  agent.starts[request.channel_sequence] = std::move(sent);
  this->Do(SendStart{agent.announce.address, std::move(request)});
}

Task* EntryCore::FindSent(const TaskRef& ref, const Incarnation& agent, std::uint64_t sequence) {
  Job* job = this->jobs.Find(ref.job);
  if (job == nullptr || ref.index >= job->tasks.size()) {
    return nullptr;
  }
  Task& task = job->tasks[ref.index];
  const bool same =
      task.state == JobTaskState::kSent && task.agent == agent && task.channel_sequence == sequence;
  return same ? &task : nullptr;
}

void EntryCore::Pause(Agent& agent) {
  agent.pause = std::clamp(agent.pause * 2, kFirstPause, kLongestPause);
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
  const std::vector<TaskRef> tasks = std::move(node.mapped());
  agent->unreported -= static_cast<int>(tasks.size());
  if (const auto* reply = std::get_if<StartReply>(&event.reply)) {
    this->SettleStart(*reply, event.agent, event.channel_sequence, tasks);
    return;
  }
  const bool not_sent = GetError(event.reply).kind == ErrorKind::kUnreachable;
  if (not_sent) {
    this->Pause(*agent);
  }
  for (const TaskRef& ref : tasks) {
    if (this->FindSent(ref, event.agent, event.channel_sequence) == nullptr) {
      continue;
    }
    if (not_sent) {
      this->ProvenNotRun(ref);
    } else {
      this->Withdraw(ref, false);
    }
  }
}

void EntryCore::SettleStart(const StartReply& reply, const Incarnation& agent,
                            std::uint64_t sequence, const std::vector<TaskRef>& tasks) {
  if (reply.agent != agent) {
    // Another process has the address. The one that was asked may have had the message before.
    this->RemoveAgent(agent, true);
    return;
  }
  this->directory.Hear(agent, &reply.load, this->now);
  for (const Outcome& outcome : reply.outcomes) {
    this->ApplyOutcome(agent, outcome);
  }
  const bool decided = !reply.repeated && reply.decisions.size() == tasks.size();
  bool refused = false;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    if (this->FindSent(tasks[i], agent, sequence) == nullptr) {
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
        job->excluded.push_back(incarnation);
      }
      service->jobs_at_risk = true;
      break;
    case StartRefusal::kBusy:
    case StartRefusal::kEndpointDown:
      // A busy agent that reports free slots would be asked again at once.
      if (refusal == StartRefusal::kEndpointDown || agent.FreeSlots() > 0) {
        if (this->now >= agent.paused_until) {
          this->Pause(agent);
        }
      }
      break;
    default:
      break;
  }
  this->ProvenNotRun(task);
}

void EntryCore::ProvenNotRun(const TaskRef& ref) {
  Job& job = *this->jobs.Find(ref.job);
  Task& task = job.tasks[ref.index];
  if (job.failure || job.answered) {
    this->EndTask(job, ref.index, JobTaskState::kNotRun);
    this->TryAnswer(job);
    return;
  }
  if (Agent* agent = this->directory.Find(task.agent)) {
    agent->outstanding.erase(ref);
    agent->withdrawals.Remove(ref);
  }
  ++task.refusals;
  task.state = JobTaskState::kWaiting;
  task.agent = {};
  task.channel_sequence = 0;
  ServiceState& service = *this->FindService(job.ticket.service);
  service.queue.Add(ref, job.urgency, job.deadline, task.expected);
}

void EntryCore::Withdraw(const TaskRef& ref, bool stop_running) {
  const Task& task = this->jobs.Find(ref.job)->tasks[ref.index];
  if (Agent* agent = this->directory.Find(task.agent)) {
    agent->withdrawals.Add(ref, stop_running, this->now);
    this->withdrawals_changed = true;
  }
}

void EntryCore::SendWithdrawals() {
  for (auto& [incarnation, agent] : this->directory.Agents()) {
    if (agent.withdrawals.Size() == 0) {
      continue;
    }
    const auto batch = agent.withdrawals.Take(this->now);
    if (!batch) {
      continue;
    }
    WithdrawRequest request;
    request.owner = this->self.incarnation;
    request.agent = incarnation;
    request.stop_running = batch->stop_running;
    for (const TaskRef& ref : batch->tasks) {
      const Job& job = *this->jobs.Find(ref.job);
      request.items.push_back({job.tasks[ref.index].channel_sequence, {job.ticket, ref.index}});
    }
    ++this->counters.withdrawals;
    this->Do(SendWithdraw{agent.announce.address, std::move(request)});
  }
}

void EntryCore::On(const WithdrawReplied& event) {
  Agent* agent = this->directory.Find(event.agent);
  if (agent == nullptr) {
    return;
  }
  const auto* reply = std::get_if<WithdrawReply>(&event.reply);
  if (reply == nullptr) {
    agent->withdrawals.Failed(this->now);
    return;
  }
  if (reply->agent != event.agent) {
    this->RemoveAgent(event.agent, true);
    return;
  }
  this->directory.Hear(event.agent, &reply->load, this->now);
  std::vector<TaskRef> asked;
  for (const WithdrawItem& item : event.items) {
    if (const Job* job = this->jobs.Find(item.task.ticket)) {
      asked.push_back({job->id, item.task.index});
    }
  }
  for (const TaskReport& report : reply->reports) {
    this->ApplyReport(event, report);
  }
  agent->withdrawals.Answered(asked, this->now);
}

void EntryCore::ApplyReport(const WithdrawReplied& event, const TaskReport& report) {
  Job* job = this->jobs.Find(report.task.ticket);
  const auto item = std::ranges::find_if(
      event.items, [&](const WithdrawItem& asked) { return asked.task == report.task; });
  if (job == nullptr || item == event.items.end()) {
    return;
  }
  const TaskRef ref{job->id, report.task.index};
  // The task may have been placed again since; this report is about the start that was asked for.
  Task* task = this->FindSent(ref, event.agent, item->channel_sequence);
  if (task == nullptr) {
    return;
  }
  if (report.status == TaskStatus::kNotRun) {
    this->ProvenNotRun(ref);
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
  this->Do(ReplyOutcomes{
      event.request,
      {this->self.incarnation, service == nullptr ? 0 : service->configuration->version}});
  if (event.message.owner != this->self.incarnation) {
    return;
  }
  this->directory.Hear(event.message.agent, &event.message.load, this->now);
  for (const Outcome& outcome : event.message.outcomes) {
    this->ApplyOutcome(event.message.agent, outcome);
  }
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
  if (ProvesNotRun(outcome)) {
    task.excluded.push_back(incarnation);
    this->ProvenNotRun({job->id, index});
    return;
  }
  const Agent* agent = this->directory.Find(incarnation);
  ServiceState& service = *this->FindService(job->ticket.service);
  const bool cancelled = job->failure && job->failure->reason == "cancelled";
  // Tasks that were stopped say nothing about the endpoint.
  if (agent != nullptr && (outcome.ok || !cancelled)) {
    const std::string& name = agent->announce.name;
    if (service.health.Record(name, outcome.ok, this->now)) {
      this->Log(1003, "agent_ejected", "agent=" + name);
    }
    if (outcome.ok) {
      service.model.Observe(job->kind, name,
                            std::chrono::duration_cast<Microseconds>(task.spec.declared),
                            outcome.run_time);
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
  this->EndTask(*job, index, JobTaskState::kFailed);
  const bool unknown = outcome.reason == "outcome_unknown";
  this->FailJob(*job, unknown ? "outcome_unknown" : "task_failed",
                "task " + std::to_string(index) + " failed: " + outcome.reason, false);
}

}  // namespace quetzalvale
