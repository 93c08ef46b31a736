/// Learned run times per kind of task and speeds per endpoint.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace quetzalvale {

/// Run time is modelled as size of the kind times slowness of the endpoint. Both are learned from
/// the same runs in logarithms, which bounds the weight of stragglers. Declared sizes replace the
/// kind's mean only while they predict better, because callers' declarations are often far off.
/// Not thread-safe.
class RunTimeModel {
 public:
  /// Sets the prior of a kind, used until runs have been seen.
  /// `honest` kinds have declarations that are rough but not misleading: they are used before runs
  /// have been seen, and later together with the mean, each by how well it has predicted.
  void SetPrior(std::string_view kind, Microseconds expected, bool honest = false);

  /// Learns from a task that ran to its end without failing. `declared` is zero when the caller
  /// gave none.
  void Observe(std::string_view kind, std::string_view endpoint, Microseconds declared,
               Microseconds run_time);

  /// Expected run time at speed 1. `declared` is zero when the caller gave none.
  Microseconds Expected(std::string_view kind, Microseconds declared) const;

  /// Whether enough runs of the kind have been seen to refuse work because of Expected().
  bool IsLearned(std::string_view kind) const;

  /// Speed of the endpoint relative to the fleet's geometric mean; 1 while unknown.
  double Speed(std::string_view endpoint) const;

  /// Forgets an endpoint that is gone.
  void Forget(std::string_view endpoint);

 private:
  struct KindEstimate {
    double prior_us = 100000;
    bool honest = false;
    double runs = 0;
    /// Means of the run time at raw slowness 1, and of its logarithm.
    double mean_us = 0;
    double mean_log = 0;
    double declared_runs = 0;
    /// Means of run time over declared time, and of its logarithm.
    double declared_factor = 1;
    double declared_log = 0;
    /// Mean absolute error in logarithms of predicting by declaration and by the mean, over the
    /// runs that had a declaration.
    double declared_error = 0;
    double mean_error = 0;
  };
  struct SpeedEstimate {
    double log_slowness = 0;
    double runs = 0;
  };

  /// Expected size from the kind's mean and the declaration, each by how well it has predicted.
  static double Blended(const KindEstimate& kind, double declared_us);
  static bool PrefersDeclared(const KindEstimate& kind);
  static void LearnDeclared(KindEstimate& kind, double declared_us, double size_us);
  static void LearnMean(KindEstimate& kind, double size_us);
  /// Mean of log_slowness over the known endpoints; fixes the scale that runs leave open.
  double MeanLogSlowness() const;

  std::map<std::string, KindEstimate, std::less<>> kinds;
  std::map<std::string, SpeedEstimate, std::less<>> endpoints;
  double log_slowness_sum = 0;
};

}  // namespace quetzalvale
