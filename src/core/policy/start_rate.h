/// The rate at which this entry's waiting work starts.
#pragma once

#include "core/types.h"

namespace quetzalvale {

/// Estimates how much work an entry can start while tasks are waiting. Agents report the capacity
/// of their workers to all entries, so the reports do not show which part of it one entry will get;
/// its own starts do. Starts are counted only while tasks were waiting already: the others used
/// capacity that was free and say nothing about the rate at which capacity becomes free. Not
/// thread-safe.
class StartRate {
 public:
  /// Records a placement round. `started` is the expected run time, at speed 1, of the tasks that
  /// it placed; `tasks_left` whether tasks are still waiting after it.
  void RecordRound(Microseconds started, bool tasks_left, Time now);

  /// Returns the work that starts per unit of time, which is the number of slots of speed 1 that
  /// this entry keeps busy. `running` is its number of running tasks, weighted by speed, which
  /// counts until enough starts have been observed.
  double Slots(double running) const;

  /// Whether tasks were left waiting by the last round.
  bool IsBacklogged() const { return this->backlogged; }

 private:
  bool backlogged = false;
  Time last_round{};
  /// Exponentially decayed sums over the time in which tasks were waiting.
  double started_us = 0;
  double observed_us = 0;
};

}  // namespace quetzalvale
