// Estimate of the entry's load, used for the admission of a job.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <string>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Upper bound on a job's deadline, so that time arithmetic cannot overflow whatever a caller
/// requests.
constexpr Milliseconds kMaxDeadline = std::chrono::hours(24);

/// Run times vary: a job is given up only if even a short run would end too late.
constexpr double kShortRunFactor = 0.75;

/// Time for messages before and after a run.
constexpr Milliseconds kMessagingTime{12};

/// Whether a run of `factor` times the expected time ends within `time_left`.
bool EndsBy(Time::duration time_left, Microseconds expected, double factor) {
  const std::chrono::duration<double, std::micro> run(static_cast<double>(expected.count()) *
                                                      factor);
  return run + kMessagingTime <= time_left;
}

}  // namespace

LoadView EntryCore::ComputeLoad(const ServiceState& service, const Submission& submission) const {
  LoadView load;
  const auto* kind = service.configuration->FindKind(submission.kind);
  const int urgency = kind == nullptr ? 0 : kind->urgency;
  load.queued_tasks = static_cast<std::uint32_t>(service.queue.Size());
  CapacityView capacity;
  load.urgent_slots = service.arrivals.SlotsAhead(urgency, this->now);
  const Resources typical =
      submission.tasks.empty() ? Resources{1} : DeclaredBy(submission.tasks.front());
  std::optional<AnswerTarget> target;
  Microseconds longest{0};
  if (kind != nullptr && kind->target_stretch > 0) {
    const Time submitted = std::min(this->now, submission.received.value_or(this->now));
    longest = LongestExpectedRun(service, submission);
    target =
        TargetOf(*kind, longest, submitted, submitted + EffectiveDeadline(service, submission));
  }
  bool any_near_data = false;
  bool reachable = false;
  double remote_free_runs = 0;
  for (const auto& [incarnation, agent] : this->directory.Agents()) {
    const bool usable = this->TakesStarts(agent) && agent.announce.service == service.name &&
                        agent.first_roster <= submission.ticket->roster;
    if (!usable || (this->IsLost(agent) && this->now >= this->grace_until)) {
      continue;
    }
    load.has_agents = true;
    for (const auto& [task, expected] : agent.outstanding) {
      load.outstanding_work += expected;
    }
    capacity.own_runs += static_cast<double>(agent.outstanding.size());
    if (!service.health.IsAvailable(agent.announce.name)) {
      // A job has to be taken for the probe that brings the endpoint back.
      reachable = true;
      continue;
    }
    const int slots = ParallelRuns(CapacityOf(agent.announce.worker), typical);
    const int free =
        ParallelRuns(ReportedFree(agent.announce.worker, agent.announce.load), typical);
    const double speed = SpeedOf(service, agent);
    const double run_factor = RunFactor(service, submission.data_rack, agent);
    const double free_runs = ParallelRuns(agent.FreeResources(), typical);
    // Room on an endpoint that would answer too late is no room for this job.
    reachable = reachable || (target && EndsBy(target->useful_until - this->now, longest,
                                               kShortRunFactor * run_factor / speed));
    if (!target || EndsBy(target->on_time - this->now, longest, run_factor / speed)) {
      any_near_data = any_near_data || run_factor <= 1;
      (run_factor <= 1 ? capacity.free_runs : remote_free_runs) += free_runs;
    }
    const int own = static_cast<int>(agent.outstanding.size());
    const int others = std::clamp(slots - free - own, 0, slots);
    load.effective_slots += (slots - others) * speed / run_factor;
  }
  if (!any_near_data) {
    capacity.free_runs = remote_free_runs;
  }
  StartQueue::ProspectiveJob job;
  job.urgency = urgency;
  const std::string team = service.AccountingTeam(submission.team);
  job.team = team;
  for (const auto& [name, rates] : service.team_arrivals) {
    job.arrivals[name] = rates.SlotsAhead(1, this->now) / std::max(1.0, load.effective_slots);
  }
  for (const TaskSpec& spec : submission.tasks) {
    job.work += service.model.Expected(submission.kind, spec.declared_run_time);
  }
  job.overtakes_at =
      StartQueue::OvertakesAt(this->now, this->now + EffectiveDeadline(service, submission));
  if (target) {
    job.overtakes_at = StartQueue::OvertakesAt(this->now, ScheduleOf(*target, longest));
    load.target =
        LoadView::Target{std::chrono::duration_cast<Microseconds>(target->on_time - this->now),
                         longest, capacity, reachable, IsSelecting(service, submission)};
  }
  load.overtakes_after = std::chrono::duration_cast<Microseconds>(job.overtakes_at - this->now);
  job.completed_before_overtaking = Microseconds(
      std::llround(static_cast<double>(load.overtakes_after.count()) * load.effective_slots));
  load.queued_work = service.queue.WorkAhead(job);
  if (load.target) {
    capacity.queued_work = load.queued_work;
    capacity.mean_run =
        capacity.own_runs > 0
            ? Microseconds(std::llround(static_cast<double>(load.outstanding_work.count()) /
                                        capacity.own_runs))
            : load.target->longest;
    load.target->capacity = capacity;
  }
  return load;
}

Microseconds EntryCore::LongestExpectedRun(const ServiceState& service,
                                           const Submission& submission) {
  Microseconds longest{0};
  for (const TaskSpec& spec : submission.tasks) {
    longest = std::max(longest, service.model.Expected(submission.kind, spec.declared_run_time));
  }
  return longest;
}

Milliseconds EntryCore::EffectiveDeadline(const ServiceState& service,
                                          const Submission& submission) {
  if (submission.deadline.count() > 0) {
    return std::min(submission.deadline, kMaxDeadline);
  }
  const auto* kind = service.configuration->FindKind(submission.kind);
  return kind == nullptr ? KindConfiguration().deadline : std::min(kind->deadline, kMaxDeadline);
}

}  // namespace quetzalvale
