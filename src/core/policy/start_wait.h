/// Expected time that the tasks of a new job wait for free capacity.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace quetzalvale {

/// The capacity that is available to an entry's tasks.
struct CapacityView {
  /// Number of tasks like the new job's that fit on the usable endpoints now.
  double free_runs = 0;
  /// This entry's running tasks, and their mean expected run time at speed 1.
  double own_runs = 0;
  Microseconds mean_run{0};
  /// Waiting work that starts before the new job's tasks.
  Microseconds queued_work{0};
};

/// Returns the expected time until the last of `tasks` tasks starts. It is zero while there is free
/// capacity for all. Beyond that, capacity becomes available as this entry's own tasks finish,
/// because what other entries' tasks release goes to the tasks waiting there.
Microseconds ExpectedWait(const CapacityView& capacity, std::size_t tasks);

/// Whether an answer can still be on time after waiting for `wait`. `target` is the time within
/// which the answer is on time, `longest` the expected run time of the longest task. A wait of up
/// to a fixed share of the target is always acceptable, because declared run times are rough.
bool IsWaitAcceptable(Microseconds wait, Microseconds target, Microseconds longest);

}  // namespace quetzalvale
