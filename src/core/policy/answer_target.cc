#include "core/policy/answer_target.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Fast endpoints complete a task in about this share of its expected run time, and run times vary.
/// A start is therefore abandoned only when even a short run would finish too late.
constexpr double kShortRunFactor = 0.75;

Time::duration Scale(Microseconds time, double factor) {
  return std::chrono::duration_cast<Time::duration>(time * factor);
}

}  // namespace

AnswerTarget TargetOf(const KindConfiguration& kind, Microseconds longest, Time submitted,
                      Time deadline) {
  if (kind.target_stretch <= 0) {
    return {deadline, deadline};
  }
  const Time::duration time_to_target = Scale(longest, kind.target_stretch) + kind.target_slack;
  const auto useful = std::chrono::duration_cast<Time::duration>(time_to_target * kind.late_factor);
  return {std::min(submitted + time_to_target, deadline), std::min(submitted + useful, deadline)};
}

StartSchedule ScheduleOf(const AnswerTarget& target, Microseconds expected) {
  const Time::duration run = Scale(expected, kShortRunFactor);
  return {target.on_time - run, target.useful_until - run};
}

}  // namespace quetzalvale
