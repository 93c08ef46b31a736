// Selection of the jobs that are turned away in an overload; see docs/design/overload-selection.md.
#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Least time between two decisions. Each looks at all jobs and agents, and in a burst hundreds of
/// events arrive in a second.
constexpr Milliseconds kSelectionInterval{10};

/// Identifies the arriving job in a decision; ids of accepted jobs start at 1.
constexpr std::uint64_t kArrivingJob = 0;

Microseconds TotalExpected(const ServiceState& service, const Submission& submission) {
  Microseconds work{0};
  for (const TaskSpec& spec : submission.tasks) {
    work += service.model.Expected(submission.kind, spec.declared_run_time);
  }
  return work;
}

std::string InputsText(const OverloadDecision& decision,
                       const OverloadDecision::TurnedAway& turned_away) {
  const auto tenths = [](double value) { return std::to_string(std::round(value * 10) / 10); };
  return std::string("reason=") + TurnAwayReasonText(turned_away.reason) +
         " left_ms=" + std::to_string(turned_away.time_left.count() / 1000) +
         " value=" + tenths(turned_away.value) + " jobs=" + std::to_string(decision.jobs) +
         " work_ms=" + std::to_string(decision.work.count() / 1000) +
         " free_runs=" + std::to_string(std::llround(decision.capacity.free_runs)) +
         " slots=" + tenths(decision.capacity.slots);
}

}  // namespace

bool EntryCore::IsSelecting(const ServiceState& service, const Submission& submission) {
  const auto* kind = service.configuration->FindKind(submission.kind);
  return service.configuration->overload.select && !submission.name.empty() && kind != nullptr &&
         kind->target_stretch > 0;
}

std::optional<EntryCore::Refusal> EntryCore::CheckOverload(ServiceState& service,
                                                           const Submission& submission,
                                                           const LoadView& load) {
  if (!load.target || !load.target->is_selected) {
    return std::nullopt;
  }
  const Microseconds work = TotalExpected(service, submission);
  service.overload.RecordSize(submission.kind, work);
  const auto tasks = static_cast<std::uint32_t>(submission.tasks.size());
  const bool fits =
      service.queue.Size() == 0 && load.target->capacity.free_runs >= static_cast<double>(tasks);
  if (fits || this->now < service.next_selection) {
    return std::nullopt;
  }
  const auto& kind = *service.configuration->FindKind(submission.kind);
  const Time submitted = std::min(this->now, submission.received.value_or(this->now));
  const Microseconds longest = load.target->longest;
  const StartSchedule schedule = ScheduleOf(
      TargetOf(kind, longest, submitted, submitted + EffectiveDeadline(service, submission)),
      longest);
  OverloadJob arriving;
  arriving.id = kArrivingJob;
  arriving.urgency = kind.urgency;
  arriving.job_class = service.overload.Classify(
      submission.kind, service.AccountingTeam(submission.team), this->self.data_centre, work);
  arriving.latest_on_time = schedule.latest_on_time;
  arriving.latest_useful = schedule.latest_useful;
  arriving.tasks = tasks;
  arriving.work = work;
  const auto refusal = this->SelectJobs(service, arriving);
  if (!refusal) {
    return std::nullopt;
  }
  return Refusal{ErrorKind::kOverloaded, "other jobs need the capacity; submit again later", true,
                 load, *refusal};
}

void EntryCore::ClassifyJob(ServiceState& service, Job& job) const {
  Microseconds work{0};
  for (const Task& task : job.tasks) {
    work += task.expected;
  }
  job.overload_class = service.overload.Classify(job.kind, job.team, this->self.data_centre, work);
  // Jobs that start at once as soon as they arrive would leave no capacity for those that may wait.
  job.awaits_selection = service.queue.Size() > 0 && service.last_selection != this->now;
}

void EntryCore::SelectWaitingJobs(ServiceState& service) {
  if (service.configuration->overload.select && service.start_rate.IsBacklogged() &&
      service.queue.Size() > 0 && this->now >= service.next_selection) {
    this->SelectJobs(service, std::nullopt);
  }
}

void EntryCore::RecordPlacements(ServiceState& service) const {
  if (service.configuration->overload.select) {
    service.start_rate.RecordRound(std::exchange(service.placed_work, Microseconds{0}),
                                   service.queue.Size() > 0, this->now);
  }
}

void EntryCore::RecordPlacement(ServiceState& service, Job& job, const Task& task) const {
  service.placed_work += task.expected;
  if (job.overload_class && !job.counted_as_served) {
    job.counted_as_served = true;
    service.overload.RecordServed(*job.overload_class, this->now);
  }
}

std::vector<OverloadJob> EntryCore::CollectWaitingJobs(const ServiceState& service) {
  std::vector<OverloadJob> waiting;
  for (const std::uint64_t id : this->jobs.UnansweredIds(service.name)) {
    Job& job = *this->jobs.Find(id);
    if (!job.overload_class || !job.target || job.failure) {
      continue;
    }
    job.awaits_selection = false;
    OverloadJob input;
    input.tasks = 0;
    Microseconds longest{0};
    for (const Task& task : job.tasks) {
      if (task.state != JobTaskState::kWaiting) {
        input.started = true;
        continue;
      }
      input.started = input.started || task.ran_before;
      ++input.tasks;
      input.work += task.expected;
      longest = std::max(longest, task.expected);
    }
    if (input.tasks == 0) {
      continue;
    }
    const StartSchedule schedule = ScheduleOf(*job.target, longest);
    input.id = id;
    input.urgency = job.urgency;
    input.job_class = *job.overload_class;
    input.latest_on_time = schedule.latest_on_time;
    input.latest_useful = schedule.latest_useful;
    waiting.push_back(input);
  }
  return waiting;
}

OverloadCapacity EntryCore::MeasureCapacity(const ServiceState& service) const {
  // Tasks are compared by the resources of one of them; the others are taken to be like it.
  StartQueue::Walk walk(service.queue);
  const auto first = walk.Next();
  const Resources typical =
      first ? DeclaredBy(this->jobs.Find(first->job)->tasks[first->index].spec) : Resources{1};
  OverloadCapacity capacity;
  double running = 0;
  for (const auto& [incarnation, agent] : this->directory.Agents()) {
    if (!agent.member || agent.announce.service != service.name || this->IsLost(agent)) {
      continue;
    }
    const int runs = ParallelRuns(CapacityOf(agent.announce.worker), typical);
    running += std::min<double>(runs, static_cast<double>(agent.outstanding.size())) *
               SpeedOf(service, agent);
    if (this->TakesStarts(agent) && this->now >= agent.paused_until &&
        service.health.IsAvailable(agent.announce.name)) {
      capacity.free_runs += ParallelRuns(agent.FreeResources(), typical);
    }
  }
  // While agents are asked whether they are alive, nothing is known.
  capacity.slots = this->IsAwaitingLivenessChecks(service) ? 0 : service.start_rate.Slots(running);
  return capacity;
}

std::optional<std::string> EntryCore::SelectJobs(ServiceState& service,
                                                 const std::optional<OverloadJob>& arriving) {
  service.last_selection = this->now;
  service.next_selection = this->now + kSelectionInterval;
  std::vector<OverloadJob> waiting = this->CollectWaitingJobs(service);
  const OverloadCapacity capacity = this->MeasureCapacity(service);
  const std::size_t tasks = service.queue.Size() + (arriving ? arriving->tasks : 0);
  if (capacity.free_runs >= static_cast<double>(tasks)) {
    return std::nullopt;
  }
  if (arriving) {
    waiting.push_back(*arriving);
  }
  const OverloadDecision decision = service.overload.Decide(waiting, capacity, this->now);
  std::optional<std::string> refusal;
  for (const auto& turned_away : decision.turned_away) {
    ++this->counters.jobs_turned_away[TurnAwayReasonText(turned_away.reason)];
    std::string inputs = InputsText(decision, turned_away);
    if (turned_away.id == kArrivingJob) {
      refusal = std::move(inputs);
      continue;
    }
    Job& job = *this->jobs.Find(turned_away.id);
    this->Log(1049, "job_turned_away",
              "job=" + job.name + " kind=" + job.kind +
                  " tasks=" + std::to_string(job.tasks.size()) + " waited_ms=" +
                  std::to_string(
                      std::chrono::duration_cast<Milliseconds>(this->now - job.submitted).count()) +
                  " " + inputs);
    this->FailJob(job, kTurnedAway, "other jobs need the capacity; submit again later", true);
  }
  return refusal;
}

}  // namespace quetzalvale
