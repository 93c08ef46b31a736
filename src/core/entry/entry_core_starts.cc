// Placement of waiting tasks on agents, and start messages.
#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// A placement round ends after the policy has kept this many tasks waiting.
constexpr std::uint32_t kMaxDeclined = 64;

/// A placement round ends after this many tasks that no free agent may take, for example because of
/// an old ticket. More than the tasks of one job, so that such a job does not block those behind
/// it.
constexpr std::uint32_t kMaxBlocked = 512;

/// Maximum number of tasks skipped in one round because a task of the same job with the same
/// declared resources could not be placed. Higher than the other limits because skipping a task
/// costs only a lookup.
constexpr std::uint32_t kMaxSkipped = 4096;

/// A placement round ends after this many tasks with a target that could not be placed. Each costs
/// a look at every agent, and in a burst hundreds of tasks wait.
constexpr std::uint32_t kMaxUnplacedTargets = 24;

/// After a round that left at least so many of them waiting, the next round comes after the
/// interval: a round for each message would use up the processor time of a small entry in a burst.
constexpr std::uint32_t kManyUnplaced = 6;
constexpr Milliseconds kCrowdedPlacementInterval{4};

/// While the retry budget is empty, one retry is allowed per this interval, so that a job whose
/// tasks were refused does not depend on other jobs to refill the budget.
constexpr Milliseconds kUnbudgetedRetryInterval{200};

/// If the objective is response time, a report that an agent is full is relied on only for the
/// heartbeat interval divided by this, because this entry is not told when tasks of other entries
/// end there. The same time limits the wait for the reply to a liveness check.
constexpr int kStaleReportDivisor = 10;

/// Capacity on fast endpoints stays reserved for this long after the last task that needed it.
/// Longer than the gaps between such tasks where they are a small part of the traffic.
constexpr std::chrono::seconds kFastCapacityReservation{2};

/// In this time, the entries together fill or empty a worker by about half of the difference to the
/// others.
constexpr Milliseconds kFreeShareHalfLife{60};

/// Estimates the present free share of a worker from a report of this age. Other entries have read
/// the same report and sent their tasks too: the older it is, the less it says, and the more likely
/// the worker is as full as the others.
double PresentFreeShare(double reported, double mean, Time::duration age) {
  const double half_lives = std::chrono::duration<double>(age) / kFreeShareHalfLife;
  return mean + (reported - mean) * std::exp2(-std::max(0.0, half_lives));
}

bool Contains(const std::vector<Incarnation>& agents, const Incarnation& agent) {
  return std::ranges::find(agents, agent) != agents.end();
}

}  // namespace

bool EntryCore::HasCapacity(const ServiceState& service, const Agent& agent) const {
  const auto& configuration = *service.configuration;
  const int own = static_cast<int>(agent.outstanding.size());
  const int queue = static_cast<int>(configuration.agent_queue);
  if (own >= agent.announce.worker.slots + queue) {
    return false;
  }
  if (agent.FreeSlots() > 0 || agent.QueuedTasks() < queue) {
    return true;
  }
  return this->IsReportStale(service, agent);
}

bool EntryCore::IsReportStale(const ServiceState& service, const Agent& agent) const {
  const auto& configuration = *service.configuration;
  const Milliseconds believed = configuration.objective == Objective::kMessages
                                    ? configuration.health.heartbeat
                                    : configuration.health.heartbeat / kStaleReportDivisor;
  return agent.outstanding.empty() && this->now - agent.load_reported_at >= believed;
}

bool EntryCore::EvaluateAgent(ServiceState& service, Agent& agent, UsableAgent& usable) {
  if (!this->TakesStarts(agent) || this->IsLost(agent) || this->now < agent.paused_until) {
    return false;
  }
  if (this->NeedsLivenessCheck(agent)) {
    this->RequestLivenessCheck(agent);
    return false;
  }
  if (!this->HasCapacity(service, agent)) {
    return false;
  }
  const std::string& name = agent.announce.name;
  usable.probe = !service.health.IsAvailable(name);
  if (usable.probe && (!agent.outstanding.empty() || !service.health.MayProbe(name, this->now))) {
    return false;
  }
  usable.agent = &agent;
  usable.report_stale = this->IsReportStale(service, agent);
  usable.free = agent.FreeResources();
  Candidate& candidate = usable.candidate;
  candidate.agent = agent.announce.agent;
  candidate.name = name;
  candidate.slots = agent.announce.worker.slots;
  candidate.own_outstanding = static_cast<int>(agent.outstanding.size());
  candidate.free_slots = agent.FreeSlots();
  candidate.queued = agent.QueuedTasks();
  if (candidate.free_slots == 0 && usable.report_stale) {
    // Send one task to find out whether a slot is free: the next report of an idle agent may be
    // many seconds away.
    usable.assumes_free_slot = true;
    candidate.free_slots = 1;
    candidate.queued = 0;
  }
  candidate.speed = SpeedOf(service, agent);
  candidate.same_data_centre = agent.announce.data_centre == this->self.data_centre;
  return true;
}

void EntryCore::RequestLivenessCheck(Agent& agent) {
  if (!agent.reply_awaited_since) {
    agent.reply_awaited_since = this->now;
    this->next_notices = this->now;
  }
}

bool EntryCore::IsAwaitingLivenessChecks(const ServiceState& service) const {
  const Milliseconds reply_timeout = service.configuration->health.heartbeat / kStaleReportDivisor;
  return std::ranges::any_of(this->directory.Agents(), [&](const auto& element) {
    const Agent& agent = element.second;
    return agent.announce.service == service.name && this->TakesStarts(agent) &&
           agent.reply_awaited_since && this->now - *agent.reply_awaited_since < reply_timeout;
  });
}

void EntryCore::FailLateJobs(ServiceState& service) {
  for (const TaskRef& ref : service.queue.TakeExpired(this->now)) {
    Job* job = this->jobs.Find(ref.job);
    if (job != nullptr && !job->failure) {
      this->FailJob(*job, "too_late",
                    "the answer would come too late to be of use; submit the job again when there "
                    "is less load",
                    true);
    }
  }
}

std::vector<EntryCore::UsableAgent> EntryCore::FindUsableAgents(ServiceState& service) {
  std::vector<UsableAgent> usable;
  for (auto& [incarnation, agent] : this->directory.Agents()) {
    UsableAgent entry;
    if (agent.announce.service == service.name && this->EvaluateAgent(service, agent, entry)) {
      usable.push_back(entry);
    }
  }
  double free = 0;
  double capacity = 0;
  for (const UsableAgent& entry : usable) {
    capacity += static_cast<double>(CapacityOf(entry.agent->announce.worker).millicores);
    free += static_cast<double>(std::max<std::int64_t>(0, entry.free.millicores));
  }
  for (UsableAgent& entry : usable) {
    entry.mean_free_share = capacity > 0 ? std::min(1.0, free / capacity) : 0;
  }
  return usable;
}

void EntryCore::QueueTask(ServiceState& service, const Job& job, std::uint32_t index) {
  StartQueue::Waiting waiting{{job.id, index}, job.urgency,  job.team,
                              job.submitted,   job.deadline, job.tasks[index].expected};
  if (job.target) {
    waiting.schedule = ScheduleOf(*job.target, waiting.expected);
  }
  if (job.overload_class) {
    // The selected jobs can all be on time if those with the least time go first; urgency counts in
    // the selection.
    waiting.urgency = 0;
    waiting.deadline = waiting.schedule->latest_on_time;
  }
  service.queue.Add(waiting);
}

void EntryCore::PlaceTasks(ServiceState& service) {
  if (service.queue.Size() == 0 || this->now < service.next_placement) {
    return;
  }
  this->FailLateJobs(service);
  std::vector<UsableAgent> usable = this->FindUsableAgents(service);
  std::uint32_t declined = 0;
  std::uint32_t blocked = 0;
  std::uint32_t skipped = 0;
  std::uint32_t unplaced_targets = 0;
  std::optional<TaskClass> unplaceable_class;
  service.queue.Advance(this->now);
  StartQueue::Walk walk(service.queue);
  while (!usable.empty()) {
    const std::optional<TaskRef> next = walk.Next();
    if (!next) {
      return;
    }
    Job& job = *this->jobs.Find(next->job);
    const bool held = job.awaits_selection && service.configuration->overload.select;
    if (job.deadline <= this->now || held) {
      continue;
    }
    const TaskClass task_class{job.id, DeclaredBy(job.tasks[next->index].spec)};
    if (unplaceable_class == task_class && skipped < kMaxSkipped) {
      ++skipped;
      continue;
    }
    const PlacementResult placed =
        this->Place(service, job, next->index, usable, declined + blocked);
    if (placed == PlacementResult::kNoUsableAgent) {
      unplaceable_class = task_class;
    }
    declined += placed == PlacementResult::kDeclined ? 1 : 0;
    blocked +=
        placed == PlacementResult::kRetryBudgetEmpty || placed == PlacementResult::kNoUsableAgent
            ? 1
            : 0;
    if (placed != PlacementResult::kPlaced && job.target) {
      ++unplaced_targets;
      if (unplaced_targets == kManyUnplaced) {
        service.next_placement = this->now + kCrowdedPlacementInterval;
      }
      if (unplaced_targets >= kMaxUnplacedTargets) {
        return;
      }
    }
    const bool any_free = std::ranges::any_of(usable, [](const UsableAgent& entry) {
      return entry.probe || entry.candidate.free_slots > 0;
    });
    if (declined >= kMaxDeclined || blocked >= (any_free ? kMaxBlocked : kMaxDeclined)) {
      return;
    }
  }
}

EntryCore::PlacementOptions EntryCore::FindPlacementOptions(
    const ServiceState& service, const Job& job, const Task& task,
    std::span<const UsableAgent> usable) const {
  PlacementOptions options;
  const bool avoid = std::ranges::any_of(usable, [&](const UsableAgent& entry) {
    return !Contains(task.failed_on, entry.candidate.agent);
  });
  const Resources declared = DeclaredBy(task.spec);
  const int queue = static_cast<int>(service.configuration->agent_queue);
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const Agent& agent = *usable[i].agent;
    if (!MayUse(job, agent) || !CapacityOf(agent.announce.worker).Covers(declared) ||
        Contains(job.excluded_agents, agent.announce.agent) ||
        (avoid && Contains(task.failed_on, agent.announce.agent))) {
      continue;
    }
    if (usable[i].probe) {
      options.probe = i;
      return options;
    }
    Candidate candidate = usable[i].candidate;
    candidate.slots = ParallelRuns(CapacityOf(agent.announce.worker), declared);
    candidate.free_share = PresentFreeShare(
        static_cast<double>(ParallelRuns(usable[i].free, declared)) / std::max(1, candidate.slots),
        usable[i].mean_free_share, this->now - agent.load_reported_at);
    candidate.has_pending_message = this->batcher.HasBatch(agent.announce.agent);
    candidate.run_factor = RunFactor(service, job.data_rack, agent);
    options.any_near_data = options.any_near_data || candidate.run_factor <= 1;
    const bool full = candidate.queued >= queue;
    const bool fits = usable[i].assumes_free_slot || (usable[i].report_stale && full) ||
                      usable[i].free.Covers(declared);
    candidate.full = !fits && full;
    if (candidate.full && !job.target) {
      continue;
    }
    if (!fits || candidate.free_slots <= 0) {
      // On average, half a run remains until the next slot becomes free.
      const double runs = (0.5 + candidate.queued) / std::max(1, candidate.slots);
      const Microseconds run =
          job.target ? agent.MeanExpectedRunTime(task.expected) : task.expected;
      candidate.expected_wait = Microseconds(static_cast<std::int64_t>(
          runs * static_cast<double>(run.count()) / std::max(candidate.speed, 0.01)));
    }
    if (!fits && !full && candidate.free_slots > 0) {
      options.short_of_resources.push_back(options.positions.size());
      candidate.free_slots = 0;
    }
    if (candidate.full) {
      candidate.free_slots = 0;
    }
    options.any_free = options.any_free || candidate.free_slots > 0;
    options.positions.push_back(i);
    options.candidates.push_back(candidate);
  }
  return options;
}

std::optional<std::size_t> EntryCore::ChooseAgent(ServiceState& service, const Job& job,
                                                  const Task& task, const PlacementOptions& options,
                                                  std::uint32_t waiting_ahead) {
  if (options.probe || options.candidates.empty()) {
    return options.probe;
  }
  PlacementQuery query;
  query.expected = task.expected;
  query.time_left = std::chrono::duration_cast<Microseconds>(job.deadline - this->now);
  query.waiting_ahead = waiting_ahead;
  if (job.target) {
    query.on_time_left = std::chrono::duration_cast<Microseconds>(job.target->on_time - this->now);
    if (NeedsFastEndpoint(options.candidates, query)) {
      service.fast_slots_reserved_until = this->now + kFastCapacityReservation;
    }
    query.reserve_fast_endpoints = this->now < service.fast_slots_reserved_until;
    query.may_wait_near_data = options.any_near_data || this->IsDataServed(service, job);
  }
  const PlacementHook& hook =
      this->placement_override ? this->placement_override : service.placement;
  const auto position = hook(options.candidates, query, this->random);
  if (position && *position < options.positions.size()) {
    return options.positions[*position];
  }
  if (job.target || options.any_free || options.short_of_resources.empty()) {
    return std::nullopt;
  }
  // At the entry the task would wait behind every smaller task that fits. An agent reserves the
  // resources for a task that has waited in its queue for a while.
  const std::vector<Candidate>& candidates = options.candidates;
  return options.positions[*std::ranges::min_element(
      options.short_of_resources, {}, [&](std::size_t i) { return candidates[i].expected_wait; })];
}

EntryCore::PlacementResult EntryCore::Place(ServiceState& service, Job& job, std::uint32_t index,
                                            std::vector<UsableAgent>& usable,
                                            std::uint32_t waiting_ahead) {
  const Task& task = job.tasks[index];
  const PlacementOptions options = this->FindPlacementOptions(service, job, task, usable);
  const std::optional<std::size_t> chosen =
      this->ChooseAgent(service, job, task, options, waiting_ahead);
  if (!chosen) {
    return options.any_free ? PlacementResult::kDeclined : PlacementResult::kNoUsableAgent;
  }
  if (usable[*chosen].candidate.free_slots <= 0 && !usable[*chosen].probe &&
      this->IsAwaitingLivenessChecks(service)) {
    return PlacementResult::kDeclined;
  }
  if (!this->MayRetry(service, task)) {
    return PlacementResult::kRetryBudgetEmpty;
  }
  this->Assign(service, job, index, usable[*chosen]);
  UsableAgent updated;
  if (this->EvaluateAgent(service, *usable[*chosen].agent, updated)) {
    updated.mean_free_share = usable[*chosen].mean_free_share;
    usable[*chosen] = updated;
  } else {
    usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(*chosen));
  }
  return PlacementResult::kPlaced;
}

bool EntryCore::MayRetry(ServiceState& service, const Task& task) {
  if (task.refusals == 0) {
    return true;
  }
  if (service.retry_budget.TrySpend()) {
    return true;
  }
  if (this->now < service.next_unbudgeted_retry) {
    return false;
  }
  service.next_unbudgeted_retry = this->now + kUnbudgetedRetryInterval;
  return true;
}

void EntryCore::Assign(ServiceState& service, Job& job, std::uint32_t index, UsableAgent& usable) {
  Task& task = job.tasks[index];
  Agent& agent = *usable.agent;
  const TaskRef ref{job.id, index};
  service.queue.Take(ref);
  this->RecordPlacement(service, job, task);
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
  if (agent.outstanding.empty()) {
    agent.active_since = this->now;
  }
  task.run_factor = RunFactor(service, job.data_rack, agent);
  agent.outstanding[ref] =
      Microseconds(std::llround(static_cast<double>(task.expected.count()) * task.run_factor));
  const Resources declared = DeclaredBy(task.spec);
  task.joins_queue = agent.FreeSlots() > 0 && !agent.FreeResources().Covers(declared);
  agent.unreported.Add(declared, task.joins_queue);
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
  // The agent exists: removing an agent first removes its tasks from the batcher.
  Agent& agent = *this->directory.Find(batch.agent);
  const ServiceState& service = *this->FindService(agent.announce.service);
  StartRequest request;
  request.owner = this->self.incarnation;
  request.owner_address = this->self.address;
  request.agent = batch.agent;
  request.lease = service.configuration->lease;
  request.configuration_version = service.configuration->version;
  PendingStart start;
  for (const TaskRef& ref : batch.tasks) {
    Job& job = *this->jobs.Find(ref.job);
    Task& task = job.tasks[ref.index];
    const auto left = std::chrono::duration_cast<Milliseconds>(job.deadline - this->now);
    if (left.count() < 1) {
      this->DropTask(job, ref.index);
      continue;
    }
    request.items.push_back({{job.ticket, ref.index},
                             job.kind,
                             task.spec,
                             left,
                             job.IsRepeatable(),
                             ++task.starts,
                             agent.outstanding.at(ref),
                             this->StartWithin(service, job, task, agent)});
    request.items.back().spec.payload += job.payload_tail;
    start.tasks.push_back(ref);
    start.sent.Add(DeclaredBy(task.spec), task.joins_queue);
  }
  if (start.tasks.empty()) {
    return;
  }
  request.channel_sequence = this->directory.NextChannelSequence(agent);
  if (agent.announce.load.clock.count() > 0) {
    const auto since_report =
        std::chrono::duration_cast<Microseconds>(this->now - agent.load_reported_at);
    request.accept_until = agent.announce.load.clock + since_report + kStartAcceptWindow;
  }
  for (const TaskRef& ref : start.tasks) {
    Task& task = this->jobs.Find(ref.job)->tasks[ref.index];
    task.state = JobTaskState::kSent;
    task.sent_at = this->now;
    task.channel_sequence = request.channel_sequence;
  }
  this->counters.tasks_started += start.tasks.size();
  start.sent_at = this->now;
  agent.last_start_sent = this->now;
  agent.starts[request.channel_sequence] = std::move(start);
  this->Emit(SendStart{agent.announce.address, std::move(request)});
}

}  // namespace quetzalvale
