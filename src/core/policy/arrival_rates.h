/// Work that callers bring lately, by urgency.
#pragma once

#include <map>

#include "core/types.h"

namespace quetzalvale {

/// Exponentially averaged rate of the work that was taken. Not thread-safe.
class ArrivalRates {
 public:
  /// Notes that work of this urgency was taken; `expected` is its run time at speed 1.
  void Add(int urgency, Microseconds expected, Time now);

  /// Slots of speed 1 that arrivals more urgent than `urgency` keep busy. A lower number is more
  /// urgent.
  double SlotsAhead(int urgency, Time now) const;

 private:
  struct Rate {
    double slots = 0;
    Time updated{};
  };

  std::map<int, Rate> rates;
  /// Time of the first arrival; the average covers less than its full span soon after it.
  Time first{};
};

}  // namespace quetzalvale
