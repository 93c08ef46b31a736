/// Measures the present speed of a worker from all runs on it.
#pragma once

#include <unordered_map>

#include "core/types.h"

namespace quetzalvale {

/// An agent's estimate of how fast its worker is now, relative to the run times that the owners of
/// its tasks expect. The agent sees the runs of all entries, so it notices a change of speed long
/// before a single entry could. Runs in progress count too: when several of them are far over their
/// expected time, the worker has become slow, although none of them has ended yet. Not thread-safe.
class RunSpeed {
 public:
  /// Runs without an expected time are not counted.
  void Started(const TaskKey& task, Microseconds expected, Time now);

  /// `completed` is false for a run that failed or was stopped; its length says nothing. No effect
  /// if the run was not counted.
  void Ended(const TaskKey& task, bool completed, Time now);

  /// Present speed: 1 if runs take the expected time, 0.5 if they take twice as long. Zero while
  /// too few runs have been seen.
  double Speed(Time now) const;

 private:
  struct Run {
    double expected_us = 0;
    Time started{};
  };

  /// Logarithm of run time over expected time, by the runs that have ended.
  double LogSlownessByEndedRuns(Time now) const;

  std::unordered_map<TaskKey, Run> running;
  double ended_runs = 0;
  /// Present and long-term mean of the logarithm of run time over expected time.
  double log_slowness = 0;
  double usual_log_slowness = 0;
  /// When the last run ended; used while none is in progress.
  Time idle_since{};
};

}  // namespace quetzalvale
