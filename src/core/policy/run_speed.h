/// Measures the present speed of a worker from all runs on it.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// An agent's estimate of how fast its worker is now, relative to the run times that the owners of
/// its tasks expect. The agent sees the runs of all entries, so it notices a change of speed long
/// before a single entry could.
///
/// Runs in progress count too. A run that is far over its expected time has two explanations: the
/// task is long, or the worker has become slow. Runs of other jobs decide: when several of them are
/// overdue the worker is slow, and when they end in time the task is long. See
/// docs/design/worker-speed.md. Not thread-safe.
class RunSpeed {
 public:
  /// Runs without an expected time are not counted.
  void Started(const TaskKey& task, Microseconds expected, Time now);

  /// `completed` is false for a run that failed or was stopped: it shows only that the run would
  /// have taken longer. No effect if the run was not counted.
  void Ended(const TaskKey& task, bool completed, Time now);

  /// Present speed: 1 if runs take the expected time, 0.5 if they take twice as long. Zero while
  /// too few runs have been seen.
  double Speed(Time now) const;

 private:
  struct Run {
    double expected_us = 0;
    Time started{};
    std::uint64_t job = 0;
    /// Of an ended run; the time of the estimate if it is in progress.
    Time until{};
    bool completed = false;
  };

  /// Logarithm of run time over expected time, by the runs that have ended.
  double LogSlownessByEndedRuns(Time now) const;
  /// Returns the runs in progress and those that ended lately, ordered by job.
  std::vector<Run> RecentRuns(Time now) const;
  /// Runs that have taken far longer than expected at the worker's usual speed.
  std::vector<Run> OverdueRuns(const std::vector<Run>& runs) const;
  /// Returns the logarithm of how much better the runs are explained by a worker that became slow
  /// at `change` than by long tasks. `runs` is ordered by job.
  double EvidenceOfSlowdown(const std::vector<Run>& runs, Time change) const;

  std::unordered_map<TaskKey, Run> running;
  /// The last runs that ended, oldest first.
  std::deque<Run> ended;
  double ended_runs = 0;
  /// Present and long-term mean of the logarithm of run time over expected time.
  double log_slowness = 0;
  double usual_log_slowness = 0;
  /// When the last run ended; used while none is in progress.
  Time idle_since{};
};

}  // namespace quetzalvale
