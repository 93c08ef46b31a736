#include "core/policy/arrival_rates.h"

#include <algorithm>
#include <cmath>

namespace quetzalvale {
namespace {

/// Time constant of the average: about the wait that builds up in a saturated queue. A shorter
/// average would treat every burst as a lasting load.
constexpr double kTimeConstantSeconds = 5;

/// Shortest time over which a rate is computed; otherwise the first arrival would give an unbounded
/// rate.
constexpr double kMinSeconds = 1;

double SecondsBetween(Time from, Time to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double Decay(Time from, Time to) {
  return std::exp(-SecondsBetween(from, to) / kTimeConstantSeconds);
}

}  // namespace

void ArrivalRates::Add(int urgency, Microseconds expected, Time now) {
  if (this->rates.empty()) {
    this->first_arrival = now;
  }
  Rate& rate = this->rates[urgency];
  const double seconds = std::chrono::duration<double>(expected).count();
  rate.slots = rate.slots * Decay(rate.updated, now) + seconds / kTimeConstantSeconds;
  rate.updated = now;
}

double ArrivalRates::SlotsAhead(int urgency, Time now) const {
  double slots = 0;
  for (const auto& [other, rate] : this->rates) {
    if (other < urgency) {
      slots += rate.slots * Decay(rate.updated, now);
    }
  }
  const double observed_seconds = std::max(kMinSeconds, SecondsBetween(this->first_arrival, now));
  return slots / (1 - std::exp(-observed_seconds / kTimeConstantSeconds));
}

}  // namespace quetzalvale
