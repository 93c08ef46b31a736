/// Learned run times per kind of task and speeds per endpoint.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace quetzalvale {

/// Declared sizes are only a prior: callers' declarations are often far off. Not thread-safe.
class RunTimeModel {
 public:
  /// Sets the prior of a kind, used until runs have been seen.
  void SetPrior(std::string_view kind, Microseconds expected);

  /// Learns from a task that ran to its end without failing.
  void Observe(std::string_view kind, std::string_view endpoint, Microseconds declared,
               Microseconds run_time);

  /// Expected run time at speed 1. `declared` is zero when the caller gave none.
  Microseconds Expected(std::string_view kind, Microseconds declared) const;

  /// Speed of the endpoint relative to the fleet's mean; 1 while unknown.
  double Speed(std::string_view endpoint) const;

  /// Forgets an endpoint that is gone.
  void Forget(std::string_view endpoint);

 private:
  struct KindEstimate {
    Microseconds prior{100000};
    double mean_us = 0;
    double weight = 0;
    /// Mean of run time over declared time, and the mean squared error of either prediction.
    double declared_factor = 1;
    double declared_error = 0;
    double mean_error = 0;
  };
  struct SpeedEstimate {
    double slowness = 1;
    double weight = 0;
  };

  std::map<std::string, KindEstimate, std::less<>> kinds;
  std::map<std::string, SpeedEstimate, std::less<>> endpoints;
};

}  // namespace quetzalvale
