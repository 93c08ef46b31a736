// Estimate of the entry's load, used for the admission of a job.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Upper bound on a job's deadline, so that time arithmetic cannot overflow whatever a caller
/// requests.
constexpr Milliseconds kMaxDeadline = std::chrono::hours(24);

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
  for (const auto& [incarnation, agent] : this->directory.Agents()) {
    const bool usable = agent.member && !agent.leaving && agent.announce.service == service.name &&
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
      continue;
    }
    const int slots = ParallelRuns(CapacityOf(agent.announce.worker), typical);
    const int free =
        ParallelRuns(ReportedFree(agent.announce.worker, agent.announce.load), typical);
    capacity.free_runs += ParallelRuns(agent.FreeResources(), typical);
    const int own = static_cast<int>(agent.outstanding.size());
    const int others = std::clamp(slots - free - own, 0, slots);
    load.effective_slots += (slots - others) * service.model.Speed(agent.announce.name);
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
  if (kind != nullptr && kind->target_stretch > 0) {
    const Microseconds longest = LongestExpectedRun(service, submission);
    const AnswerTarget target =
        TargetOf(*kind, longest, this->now, this->now + EffectiveDeadline(service, submission));
    job.overtakes_at = StartQueue::OvertakesAt(this->now, ScheduleOf(target, longest));
    load.target = LoadView::Target{
        std::chrono::duration_cast<Microseconds>(target.on_time - this->now), longest, capacity};
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
