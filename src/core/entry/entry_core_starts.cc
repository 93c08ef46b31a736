// Placement of waiting tasks.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Tasks that the policy leaves waiting before a round ends.
constexpr std::uint32_t kMaxDeclined = 64;

/// Tasks that no free agent may take, such as those with old tickets, before a round ends. More
/// than the tasks of one job, so that such a job does not hold up the others behind it.
constexpr std::uint32_t kMaxBlocked = 512;

/// Tasks that are passed over in one round because a task of the same job that declares the same
/// found no room. Passing one over costs a lookup only.
constexpr std::uint32_t kMaxSkipped = 4096;

/// Placements repeated in spite of an empty retry budget, so that a job of refused tasks does not
/// wait for other jobs to earn one.
constexpr Milliseconds kTricklePause{200};

/// A report that says "full" is believed for this part of the heartbeat when the objective is
/// response time: the tasks of other entries end without a word to this one.
constexpr int kStalePart = 10;

/// A start is refused by its agent when it arrives later than this after it was decided. Longer
/// than the wait in a busy peer's ring, and much shorter than the pause before a caller submits
/// again.
constexpr Milliseconds kStartPatience{250};

/// Room on fast endpoints is kept for this long after the last task that needed it. Longer than the
/// pauses between such tasks where they are a small part of the traffic.
constexpr std::chrono::seconds kFastRoomKept{2};

bool Contains(const std::vector<Incarnation>& agents, const Incarnation& agent) {
  return std::ranges::find(agents, agent) != agents.end();
}

}  // namespace

bool EntryCore::HasRoom(const ServiceState& service, const Agent& agent) const {
  const auto& configuration = *service.configuration;
  const int own = static_cast<int>(agent.outstanding.size());
  const int queue = static_cast<int>(configuration.agent_queue);
  if (own >= agent.announce.worker.slots + queue) {
    return false;
  }
  if (agent.FreeSlots() > 0 || agent.QueuedTasks() < queue) {
    return true;
  }
  return this->IsReportOld(service, agent);
}

bool EntryCore::IsReportOld(const ServiceState& service, const Agent& agent) const {
  const auto& configuration = *service.configuration;
  const Milliseconds believed = configuration.objective == Objective::kMessages
                                    ? configuration.health.heartbeat
                                    : configuration.health.heartbeat / kStalePart;
  return agent.outstanding.empty() && this->now - agent.load_reported_at >= believed;
}

bool EntryCore::MakeUsable(ServiceState& service, Agent& agent, Usable& usable) {
  if (!agent.member || agent.leaving || this->IsLost(agent) || this->now < agent.paused_until) {
    return false;
  }
  if (this->IsQuiet(agent)) {
    this->AskForSignOfLife(agent);
    return false;
  }
  if (!this->HasRoom(service, agent)) {
    return false;
  }
  const std::string& name = agent.announce.name;
  usable.probe = !service.health.IsAvailable(name);
  if (usable.probe && (!agent.outstanding.empty() || !service.health.MayProbe(name, this->now))) {
    return false;
  }
  usable.agent = &agent;
  usable.stale = this->IsReportOld(service, agent);
  usable.free = agent.FreeResources();
  Candidate& candidate = usable.candidate;
  candidate.agent = agent.announce.agent;
  candidate.name = name;
  candidate.slots = agent.announce.worker.slots;
  candidate.own_outstanding = static_cast<int>(agent.outstanding.size());
  candidate.free_slots = agent.FreeSlots();
  candidate.queued = agent.QueuedTasks();
  if (candidate.free_slots == 0 && usable.stale) {
    // One task finds out; the next report of an idle agent may be many seconds away.
    usable.finds_out = true;
    candidate.free_slots = 1;
    candidate.queued = 0;
  }
  candidate.speed = service.model.Speed(name);
  candidate.same_data_centre = agent.announce.data_centre == this->self.data_centre;
  return true;
}

void EntryCore::AskForSignOfLife(Agent& agent) {
  if (!agent.reply_awaited_since) {
    agent.reply_awaited_since = this->now;
    this->next_notices = this->now;
  }
}

bool EntryCore::IsAskingAgents(const ServiceState& service) const {
  const Milliseconds patience = service.configuration->health.heartbeat / kStalePart;
  return std::ranges::any_of(this->directory.Agents(), [&](const auto& element) {
    const Agent& agent = element.second;
    return agent.announce.service == service.name && agent.member && !agent.leaving &&
           agent.reply_awaited_since && this->now - *agent.reply_awaited_since < patience;
  });
}

void EntryCore::GiveUpHopeless(ServiceState& service) {
  for (const TaskRef& ref : service.queue.TakeHopeless(this->now)) {
    Job* job = this->jobs.Find(ref.job);
    if (job != nullptr && !job->failure) {
      this->FailJob(
          *job, "too_late",
          "the answer can no longer be of use; submit the job again when there is less load", true);
    }
  }
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

void EntryCore::QueueTask(ServiceState& service, const Job& job, std::uint32_t index) {
  StartQueue::Waiting waiting{{job.id, index}, job.urgency,  job.team,
                              job.submitted,   job.deadline, job.tasks[index].expected};
  if (job.target) {
    waiting.schedule = ScheduleOf(*job.target, waiting.expected);
  }
  service.queue.Add(waiting);
}

void EntryCore::PlaceTasks(ServiceState& service) {
  if (service.queue.Size() == 0) {
    return;
  }
  this->GiveUpHopeless(service);
  std::vector<Usable> usable = this->UsableAgents(service);
  std::uint32_t declined = 0;
  std::uint32_t blocked = 0;
  std::uint32_t skipped = 0;
  std::optional<BlockedShape> no_room;
  service.queue.Advance(this->now);
  StartQueue::Walk walk(service.queue);
  while (!usable.empty()) {
    const std::optional<TaskRef> next = walk.Next();
    if (!next) {
      return;
    }
    Job& job = *this->jobs.Find(next->job);
    if (job.deadline <= this->now) {
      continue;
    }
    const BlockedShape shape{job.id, DeclaredBy(job.tasks[next->index].spec)};
    if (no_room == shape && skipped < kMaxSkipped) {
      ++skipped;
      continue;
    }
    const Placed placed = this->Place(service, job, next->index, usable, declined + blocked);
    if (placed == Placed::kNoRoom) {
      no_room = shape;
    }
    declined += placed == Placed::kDeclined ? 1 : 0;
    blocked += placed == Placed::kBlocked || placed == Placed::kNoRoom ? 1 : 0;
    const bool any_free = std::ranges::any_of(
        usable, [](const Usable& entry) { return entry.probe || entry.candidate.free_slots > 0; });
    if (declined >= kMaxDeclined || blocked >= (any_free ? kMaxBlocked : kMaxDeclined)) {
      return;
    }
  }
}

EntryCore::Choices EntryCore::ChoicesFor(const ServiceState& service, const Job& job,
                                         const Task& task, std::span<const Usable> usable) const {
  Choices choices;
  const bool avoid = std::ranges::any_of(usable, [&](const Usable& entry) {
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
      choices.probe = i;
      return choices;
    }
    Candidate candidate = usable[i].candidate;
    candidate.slots = ParallelRuns(CapacityOf(agent.announce.worker), declared);
    candidate.room_share =
        static_cast<double>(ParallelRuns(usable[i].free, declared)) / std::max(1, candidate.slots);
    candidate.joins_message = this->batcher.HasBatch(agent.announce.agent);
    const bool full = candidate.queued >= queue;
    const bool fits =
        usable[i].finds_out || (usable[i].stale && full) || usable[i].free.Covers(declared);
    candidate.full = !fits && full;
    if (candidate.full && !job.target) {
      continue;
    }
    if (!fits || candidate.free_slots <= 0) {
      // On average half a run is left in the slot that frees itself next.
      const double runs = (0.5 + candidate.queued) / std::max(1, candidate.slots);
      const Microseconds run =
          job.target ? agent.MeanExpectedRunTime(task.expected) : task.expected;
      candidate.expected_wait = Microseconds(static_cast<std::int64_t>(
          runs * static_cast<double>(run.count()) / std::max(candidate.speed, 0.01)));
    }
    if (!fits && !full && candidate.free_slots > 0) {
      choices.short_of_resources.push_back(choices.positions.size());
      candidate.free_slots = 0;
    }
    if (candidate.full) {
      candidate.free_slots = 0;
    }
    choices.any_free = choices.any_free || candidate.free_slots > 0;
    choices.positions.push_back(i);
    choices.candidates.push_back(candidate);
  }
  return choices;
}

std::optional<std::size_t> EntryCore::Choose(ServiceState& service, const Job& job,
                                             const Task& task, const Choices& choices,
                                             std::uint32_t waiting_ahead) {
  if (choices.probe || choices.candidates.empty()) {
    return choices.probe;
  }
  PlacementQuery query;
  query.expected = task.expected;
  query.time_left = std::chrono::duration_cast<Microseconds>(job.deadline - this->now);
  query.waiting_ahead = waiting_ahead;
  if (job.target) {
    query.on_time_left = std::chrono::duration_cast<Microseconds>(job.target->on_time - this->now);
    if (NeedsFastEndpoint(choices.candidates, query)) {
      service.fast_slots_reserved_until = this->now + kFastRoomKept;
    }
    query.keeps_fast_room = this->now < service.fast_slots_reserved_until;
  }
  const PlacementHook& hook =
      this->placement_override ? this->placement_override : service.placement;
  const auto position = hook(choices.candidates, query, this->random);
  if (position && *position < choices.positions.size()) {
    return choices.positions[*position];
  }
  if (job.target || choices.any_free || choices.short_of_resources.empty()) {
    return std::nullopt;
  }
  // At the entry it would wait behind every smaller task that fits; an agent's queue reserves what
  // it needs after a while.
  const std::vector<Candidate>& candidates = choices.candidates;
  return choices.positions[*std::ranges::min_element(
      choices.short_of_resources, {}, [&](std::size_t i) { return candidates[i].expected_wait; })];
}

EntryCore::Placed EntryCore::Place(ServiceState& service, Job& job, std::uint32_t index,
                                   std::vector<Usable>& usable, std::uint32_t waiting_ahead) {
  const Task& task = job.tasks[index];
  const Choices choices = this->ChoicesFor(service, job, task, usable);
  const std::optional<std::size_t> chosen =
      this->Choose(service, job, task, choices, waiting_ahead);
  if (!chosen) {
    return choices.any_free ? Placed::kDeclined : Placed::kNoRoom;
  }
  if (usable[*chosen].candidate.free_slots <= 0 && !usable[*chosen].probe &&
      this->IsAskingAgents(service)) {
    return Placed::kDeclined;
  }
  if (!this->MayRetry(service, task)) {
    return Placed::kBlocked;
  }
  this->Assign(service, job, index, usable[*chosen]);
  Usable again;
  if (this->MakeUsable(service, *usable[*chosen].agent, again)) {
    usable[*chosen] = again;
  } else {
    usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(*chosen));
  }
  return Placed::kYes;
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
  service.next_unbudgeted_retry = this->now + kTricklePause;
  return true;
}

void EntryCore::Assign(ServiceState& service, Job& job, std::uint32_t index, Usable& usable) {
  Task& task = job.tasks[index];
  Agent& agent = *usable.agent;
  const TaskRef ref{job.id, index};
  service.queue.Take(ref);
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
  agent.outstanding[ref] = task.expected;
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
  // Agents that go take their tasks out of the batcher first.
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
    request.items.push_back(
        {{job.ticket, ref.index}, job.kind, task.spec, left, job.IsRepeatable(), ++task.starts});
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
    request.accept_until = agent.announce.load.clock + since_report + kStartPatience;
  }
  for (const TaskRef& ref : start.tasks) {
    Task& task = this->jobs.Find(ref.job)->tasks[ref.index];
    task.state = JobTaskState::kSent;
    task.sent_at = this->now;
    task.channel_sequence = request.channel_sequence;
  }
  this->counters.tasks_started += start.tasks.size();
  start.sent_at = this->now;
  agent.starts[request.channel_sequence] = std::move(start);
  this->Do(SendStart{agent.announce.address, std::move(request)});
}

}  // namespace quetzalvale
