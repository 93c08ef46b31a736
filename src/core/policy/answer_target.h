/// The time by which the answer to a job is of use to its caller.
#pragma once

#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

/// An answer has its full value until `on_time`, little value until `useful_until`, and none after
/// that.
struct AnswerTarget {
  Time on_time{};
  Time useful_until{};
};

/// Returns the target of a job whose longest task is expected to run for `longest` at speed 1. For
/// kinds without a target, both times are the deadline.
AnswerTarget TargetOf(const KindConfiguration& kind, Microseconds longest, Time submitted,
                      Time deadline);

/// The times by which a waiting task has to start for its answer to be of use.
struct StartSchedule {
  /// After a later start the answer is late.
  Time latest_on_time{};
  /// After a later start the answer is of no use.
  Time latest_useful{};
};

/// Returns the schedule of a task that is expected to run for `expected` at speed 1.
StartSchedule ScheduleOf(const AnswerTarget& target, Microseconds expected);

}  // namespace quetzalvale
