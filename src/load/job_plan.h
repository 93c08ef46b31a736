/// The jobs of a workload, drawn before the run so that every policy gets the same ones.
#pragma once

#include <cstddef>
#include <vector>

#include "core/types.h"
#include "load/workload.h"

namespace quetzalvale {

struct PlannedTask {
  /// True run time at speed 1.
  double run_ms = 0;
  /// Zero when nothing is declared.
  double declared_ms = 0;
};

struct PlannedJob {
  /// Intended send time after the start of the run.
  double at_ms = 0;
  /// Positions in the workload's kinds and teams.
  std::size_t kind = 0;
  std::size_t team = 0;
  std::vector<PlannedTask> tasks;

  /// Sum of the tasks' run times at speed 1.
  double WorkMs() const;
};

/// Draws the jobs, ordered by send time. Arrivals are Poisson with their number chosen so that the
/// work arriving in the warm-up and in the measurement period is each the stated share of capacity;
/// a burst multiplies the share for its time.
std::vector<PlannedJob> PlanJobs(const Workload& workload);

}  // namespace quetzalvale
