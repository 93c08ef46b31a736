#include "core/policy/start_wait.h"

#include <algorithm>
#include <cmath>

namespace quetzalvale {
namespace {

/// Fast endpoints complete a task in about this share of its expected run time.
constexpr double kShortRunFactor = 0.75;

/// A wait of up to this share of the target is acceptable regardless of the declared run times.
constexpr double kAlwaysAcceptableShare = 0.1;

}  // namespace

Microseconds ExpectedWait(const CapacityView& capacity, std::size_t tasks) {
  const double mean_run = std::max<double>(1, static_cast<double>(capacity.mean_run.count()));
  const double without_capacity = static_cast<double>(tasks) - capacity.free_runs;
  const double work =
      static_cast<double>(capacity.queued_work.count()) + without_capacity * mean_run;
  if (work <= 0) {
    return Microseconds{0};
  }
  return Microseconds(std::llround(work / std::max(1.0, capacity.own_runs)));
}

bool IsWaitAcceptable(Microseconds wait, Microseconds target, Microseconds longest) {
  const double slack =
      static_cast<double>(target.count()) - static_cast<double>(longest.count()) * kShortRunFactor;
  const double least = static_cast<double>(target.count()) * kAlwaysAcceptableShare;
  return static_cast<double>(wait.count()) <= std::max(slack, least);
}

}  // namespace quetzalvale
