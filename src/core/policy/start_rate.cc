#include "core/policy/start_rate.h"

#include <algorithm>
#include <cmath>

namespace quetzalvale {
namespace {

/// Time constant of the average. Shorter than a burst, longer than most runs.
constexpr double kTimeConstantUs = 1e6;

/// The running tasks have the weight of this much observed time.
constexpr double kPriorUs = 250e3;

}  // namespace

void StartRate::RecordRound(Microseconds started, bool tasks_left, Time now) {
  if (this->backlogged) {
    const double elapsed =
        std::max(0.0, std::chrono::duration<double, std::micro>(now - this->last_round).count());
    const double decay = std::exp(-elapsed / kTimeConstantUs);
    this->started_us = this->started_us * decay + static_cast<double>(started.count());
    this->observed_us = this->observed_us * decay + elapsed;
  }
  this->backlogged = tasks_left;
  this->last_round = now;
}

double StartRate::Slots(double running) const {
  return (this->started_us + running * kPriorUs) / (this->observed_us + kPriorUs);
}

}  // namespace quetzalvale
