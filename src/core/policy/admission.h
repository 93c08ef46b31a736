/// Decides whether to accept a job before any of its tasks starts.
#pragma once

#include <optional>
#include <span>

#include "core/messages.h"
#include "core/policy/run_time_model.h"
#include "core/policy/start_wait.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// The load of an entry when a job arrives.
struct LoadView {
  /// Tasks waiting at this entry.
  std::uint32_t queued_tasks = 0;
  /// Total expected run time, at speed 1, of the waiting tasks that start before the last task of
  /// the new job.
  Microseconds queued_work{0};
  /// Expected run time, at speed 1, of the tasks that were sent to agents and are not settled.
  Microseconds outstanding_work{0};
  /// Slots of usable agents, weighted by speed, minus those occupied by other entries.
  double effective_slots = 0;
  /// Slots of speed 1 that recent arrivals of higher urgency keep busy. Those tasks start before
  /// the new job until it has waited for `overtakes_after` and goes ahead of them.
  double urgent_slots = 0;
  Microseconds overtakes_after = Microseconds::max();
  /// Set for kinds with a target. A job of such a kind is rejected if its answer can only be late:
  /// in an overload it would take capacity from jobs that can still be on time.
  struct Target {
    /// Time within which the answer is on time.
    Microseconds time{0};
    Microseconds longest{0};
    CapacityView capacity;
    /// Some endpoint could end the longest task while its answer is of use.
    bool reachable = true;
    /// The wait is not limited here, because OverloadPolicy selects the jobs.
    bool is_selected = false;
  };
  std::optional<Target> target;
  bool has_agents = false;
};

/// Returns the reason for a rejection, or nothing if the job is accepted. Checks limits, the kind
/// and team, that every task fits on some worker, and that the job's expected finish meets its
/// deadline.
std::optional<Error> CheckAdmission(const ServiceConfiguration& configuration,
                                    const RunTimeModel& model, const LoadView& load,
                                    const Submission& submission);

}  // namespace quetzalvale
