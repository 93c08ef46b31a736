/// Learns run times per kind of task and speeds per endpoint.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace quetzalvale {

/// Models the run time of a task as the size of its kind times the slowness of the endpoint. Both
/// are learned from the same runs, in logarithms, which limits the weight of stragglers. Declared
/// sizes replace the mean of the kind only while they predict better, because declarations of
/// callers are often far off. Not thread-safe.
class RunTimeModel {
 public:
  /// Sets the expected run time of a kind, used until runs have been observed. If `trust_declared`
  /// is set, the kind's declarations are rough but not misleading: they are used before any run has
  /// been observed, and later in combination with the mean, each weighted by how well it has
  /// predicted.
  void SetPrior(std::string_view kind, Microseconds expected, bool trust_declared = false);

  /// Learns from a task that ran to its end without failing. `declared` is zero if the caller
  /// declared no run time.
  void Observe(std::string_view kind, std::string_view endpoint, Microseconds declared,
               Microseconds run_time);

  /// Expected run time at speed 1. `declared` is zero if the caller declared no run time.
  Microseconds Expected(std::string_view kind, Microseconds declared) const;

  /// Whether enough runs of the kind have been observed to reject jobs because of Expected().
  bool IsLearned(std::string_view kind) const;

  /// Speed of the endpoint relative to the geometric mean of the fleet; 1 while unknown.
  double Speed(std::string_view endpoint) const;

  /// Removes an endpoint that is gone.
  void Forget(std::string_view endpoint);

 private:
  struct KindEstimate {
    double prior_us = 100000;
    bool trust_declared = false;
    double runs = 0;
    /// Mean of the run time at raw slowness 1, and mean of its logarithm.
    double mean_us = 0;
    double mean_log = 0;
    double declared_runs = 0;
    /// Mean of run time over declared time, and mean of its logarithm.
    double declared_factor = 1;
    double declared_log = 0;
    /// Mean absolute errors, in logarithms, of the predictions by declaration and by the mean, over
    /// the runs with a declaration.
    double declared_error = 0;
    double mean_error = 0;
  };
  struct SpeedEstimate {
    double log_slowness = 0;
    double runs = 0;
  };

  /// Expected size from the mean of the kind and the declaration, each weighted by how well it has
  /// predicted.
  static double Blended(const KindEstimate& kind, double declared_us);
  static bool PrefersDeclared(const KindEstimate& kind);
  static void LearnDeclared(KindEstimate& kind, double declared_us, double size_us);
  static void LearnMean(KindEstimate& kind, double size_us);
  /// Mean of log_slowness over the known endpoints. It fixes the scale, which the runs alone do not
  /// determine.
  double MeanLogSlowness() const;

  std::map<std::string, KindEstimate, std::less<>> kinds;
  std::map<std::string, SpeedEstimate, std::less<>> endpoints;
  double log_slowness_sum = 0;
};

}  // namespace quetzalvale
