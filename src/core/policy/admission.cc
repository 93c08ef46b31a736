#include "core/policy/admission.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace quetzalvale {
namespace {

/// Safety factor on the expected wait of learned kinds, whose wait behind many tasks is predicted
/// well. It keeps a saturated queue short enough for accepted jobs to meet their deadlines: with a
/// queue that reaches up to the deadline, the first tasks of a job start and its last ones come too
/// late.
constexpr double kLearnedWaitFactor = 1.5;

/// For unlearned kinds the amount of queued work is only a rough estimate, so a job is rejected
/// only if the expected wait is twice its deadline.
constexpr double kUnlearnedWaitFactor = 0.5;

/// Arrivals of higher urgency are assumed to leave at least this share of the slots. Without this
/// limit the expected wait would have no bound, and a short burst would reject everything less
/// urgent.
constexpr double kMinRemainingShare = 0.2;

/// A single task may take only half its expected run time, on a faster endpoint or because run
/// times vary.
constexpr double kOwnRunFactor = 0.5;

/// Returns the time in which `slots` slots complete `work`, if arrivals of higher urgency occupy
/// `urgent_slots` of them until `overtakes_after`. Times and work are in microseconds.
double TimeToComplete(double work, double slots, double urgent_slots, double overtakes_after) {
  const double remaining_slots = std::max(slots - urgent_slots, slots * kMinRemainingShare);
  const double completed = remaining_slots * overtakes_after;
  return work <= completed ? work / remaining_slots : overtakes_after + (work - completed) / slots;
}

Error MakeError(ErrorKind kind, std::string message) { return Error{kind, std::move(message)}; }

bool IsValidAmount(double value) { return std::isfinite(value) && value >= 0; }

std::optional<Error> CheckNames(const ServiceConfiguration& configuration,
                                const Submission& submission) {
  if (configuration.FindKind(submission.kind) == nullptr) {
    return MakeError(ErrorKind::kUnknownKind,
                     "kind \"" + submission.kind + "\" is not configured in service \"" +
                         configuration.service + "\"; use one of its kinds or add it");
  }
  // A service without teams has no quotas and accepts every caller.
  if (!configuration.teams.empty() && configuration.FindTeam(submission.team) == nullptr) {
    return MakeError(ErrorKind::kUnknownTeam,
                     "team \"" + submission.team + "\" is not configured in service \"" +
                         configuration.service + "\"; use one of its teams or add it");
  }
  return std::nullopt;
}

std::optional<Error> CheckTask(const ServiceConfiguration::WorkerLimits& limits,
                               const TaskSpec& task, std::size_t index) {
  const std::string name = "task " + std::to_string(index);
  if (!IsValidAmount(task.cores) || task.memory_mb < 0 || task.accelerators < 0 ||
      task.declared_run_time.count() < 0) {
    return MakeError(
        ErrorKind::kMalformed,
        name + " declares an amount that is negative or not a finite number; declare zero or more");
  }
  if (task.cores > limits.cores) {
    return MakeError(ErrorKind::kNeverFits, name + " needs " + std::to_string(task.cores) +
                                                " cores and no worker has more than " +
                                                std::to_string(limits.cores) + "; declare less");
  }
  if (task.memory_mb > limits.memory_mb) {
    return MakeError(ErrorKind::kNeverFits, name + " needs " + std::to_string(task.memory_mb) +
                                                " MB and no worker has more than " +
                                                std::to_string(limits.memory_mb) +
                                                " MB; declare less");
  }
  if (task.accelerators > limits.accelerators) {
    return MakeError(ErrorKind::kNeverFits, name + " needs " + std::to_string(task.accelerators) +
                                                " accelerators and no worker has more than " +
                                                std::to_string(limits.accelerators) +
                                                "; declare less");
  }
  return std::nullopt;
}

std::optional<Error> CheckTasks(const ServiceConfiguration& configuration,
                                const Submission& submission) {
  if (submission.tasks.empty()) {
    return MakeError(ErrorKind::kMalformed, "the job has no tasks; submit at least one");
  }
  if (submission.tasks.size() > configuration.limits.tasks_per_job) {
    return MakeError(ErrorKind::kTooManyTasks,
                     "the job has " + std::to_string(submission.tasks.size()) +
                         " tasks and the limit is " +
                         std::to_string(configuration.limits.tasks_per_job) + "; split it");
  }
  for (std::size_t i = 0; i < submission.tasks.size(); ++i) {
    if (auto error = CheckTask(configuration.worker_limits, submission.tasks[i], i)) {
      return error;
    }
  }
  return std::nullopt;
}

std::optional<Error> CheckDeadline(const ServiceConfiguration& configuration,
                                   const RunTimeModel& model, const LoadView& load,
                                   const Submission& submission) {
  const Milliseconds deadline = submission.deadline.count() > 0
                                    ? submission.deadline
                                    : configuration.FindKind(submission.kind)->deadline;
  double work = 0;
  double longest = 0;
  for (const TaskSpec& task : submission.tasks) {
    const auto expected =
        static_cast<double>(model.Expected(submission.kind, task.declared_run_time).count());
    work += expected;
    longest = std::max(longest, expected);
  }
  const double slots = std::max(load.effective_slots, 1.0);
  // Running tasks have completed half of their run on average.
  const double work_ahead = static_cast<double>(load.queued_work.count()) +
                            static_cast<double>(load.outstanding_work.count()) / 2;
  const bool learned = model.IsLearned(submission.kind);
  const auto overtakes_after = static_cast<double>(load.overtakes_after.count());
  const double start = TimeToComplete(work_ahead, slots, load.urgent_slots, overtakes_after);
  const double end = TimeToComplete(work_ahead + work, slots, load.urgent_slots, overtakes_after);
  const double wait = start * (learned ? kLearnedWaitFactor : kUnlearnedWaitFactor);
  const double own_run = learned ? std::max(end - start, longest) * kOwnRunFactor : 0;
  const double finish_ms = (wait + own_run) / 1000;
  if (finish_ms <= static_cast<double>(deadline.count())) {
    return std::nullopt;
  }
  return MakeError(ErrorKind::kDeadlineUnreachable,
                   "the job is expected to finish in " + std::to_string(std::llround(finish_ms)) +
                       " ms and its deadline is " + std::to_string(deadline.count()) +
                       " ms; submit again later or with a longer deadline");
}

std::optional<Error> CheckTarget(const LoadView::Target& target, const Submission& submission) {
  if (!target.reachable) {
    return MakeError(ErrorKind::kDeadlineUnreachable,
                     "no endpoint would finish the longest task, expected to take " +
                         std::to_string(target.longest.count() / 1000) +
                         " ms, in time at its present speed; submit again later");
  }
  if (target.is_selected) {
    return std::nullopt;
  }
  const Microseconds wait = ExpectedWait(target.capacity, submission.tasks.size());
  if (IsWaitAcceptable(wait, target.time, target.longest)) {
    return std::nullopt;
  }
  return MakeError(ErrorKind::kDeadlineUnreachable,
                   "the job would wait " + std::to_string(wait.count() / 1000) +
                       " ms for free slots and its answer is wanted within " +
                       std::to_string(target.time.count() / 1000) + " ms; submit again later");
}

}  // namespace

std::optional<Error> CheckAdmission(const ServiceConfiguration& configuration,
                                    const RunTimeModel& model, const LoadView& load,
                                    const Submission& submission) {
  if (auto error = CheckNames(configuration, submission)) return error;
  if (auto error = CheckTasks(configuration, submission)) return error;
  if (!load.has_agents) {
    return MakeError(ErrorKind::kNotReady,
                     "no endpoint of the service is known to this entry; submit again later");
  }
  const std::uint64_t queued = std::uint64_t{load.queued_tasks} + submission.tasks.size();
  if (queued > configuration.limits.queued_tasks) {
    return MakeError(ErrorKind::kOverloaded, std::to_string(load.queued_tasks) +
                                                 " tasks are queued and the limit is " +
                                                 std::to_string(configuration.limits.queued_tasks) +
                                                 "; submit again later");
  }
  return load.target ? CheckTarget(*load.target, submission)
                     : CheckDeadline(configuration, model, load, submission);
}

}  // namespace quetzalvale
