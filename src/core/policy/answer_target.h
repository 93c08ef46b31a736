/// When the answer to a job is still of use to its caller.
#pragma once

#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

/// An answer is worth most until `on_time`, little until `useful_until`, and nothing later.
struct AnswerTarget {
  Time on_time{};
  Time useful_until{};
};

/// Returns the target of a job whose longest task is expected to run for `longest` at speed 1.
/// Kinds without a target want their answer by the deadline.
AnswerTarget TargetOf(const KindConfiguration& kind, Microseconds longest, Time submitted,
                      Time deadline);

/// When a waiting task has to start so that its answer is of use.
struct StartSchedule {
  /// A later start gives a late answer.
  Time latest_on_time{};
  /// A later start gives an answer that is of no use.
  Time give_up{};
};

/// Returns the schedule of a task that is expected to run for `expected` at speed 1.
StartSchedule ScheduleOf(const AnswerTarget& target, Microseconds expected);

}  // namespace quetzalvale
