/// Decision whether a job is taken, before anything of it starts.
#pragma once

#include <optional>
#include <span>

#include "core/messages.h"
#include "core/policy/run_time_model.h"
#include "core/policy/start_wait.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// What the entry knows about its load when a job arrives.
struct LoadView {
  /// Tasks that wait at this entry.
  std::uint32_t queued_tasks = 0;
  /// Summed expected run time, at speed 1, of waiting tasks that start before the new job's last.
  Microseconds queued_work{0};
  /// Work sent to agents and not settled, at speed 1.
  Microseconds outstanding_work{0};
  /// Slots of usable agents, weighted by speed, less those that other entries occupy.
  double effective_slots = 0;
  /// Slots of speed 1 that more urgent arrivals keep busy lately. They pass the new job until it
  /// has waited so long that it overtakes them.
  double urgent_slots = 0;
  Microseconds overtakes_after = Microseconds::max();
  /// Set for kinds with a target. In an overload a job that can only be late takes room from others
  /// that would be on time.
  struct Target {
    /// Time within which the answer is on time.
    Microseconds time{0};
    Microseconds longest{0};
    RoomView room;
  };
  std::optional<Target> target;
  bool has_agents = false;
};

/// Returns the refusal, or nothing when the job is taken. Checks limits, kinds and teams, tasks
/// that no worker can ever hold, and whether the job's expected finish meets its deadline.
std::optional<Error> CheckAdmission(const ServiceConfiguration& configuration,
                                    const RunTimeModel& model, const LoadView& load,
                                    const Submission& submission);

}  // namespace quetzalvale
