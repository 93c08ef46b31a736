/// Rates of recently accepted work, by urgency.
#pragma once

#include <map>

#include "core/types.h"

namespace quetzalvale {

/// Exponentially weighted average of the rate of accepted work. Not thread-safe.
class ArrivalRates {
 public:
  /// Records accepted work of this urgency; `expected` is its expected run time at speed 1.
  void Add(int urgency, Microseconds expected, Time now);

  /// Number of slots of speed 1 that arrivals more urgent than `urgency` keep busy. A lower number
  /// is more urgent.
  double SlotsAhead(int urgency, Time now) const;

 private:
  struct Rate {
    double slots = 0;
    Time updated{};
  };

  std::map<int, Rate> rates;
  /// Time of the first arrival. Soon after it, the average covers less than its time constant.
  Time first_arrival{};
};

}  // namespace quetzalvale
