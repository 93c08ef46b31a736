/// Declarative description of a load experiment, read from a JSON file in workloads/.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/types.h"

namespace quetzalvale {

/// One part of a mixed distribution.
struct DistributionPart {
  enum class Shape { kUniform, kLognormal };
  double weight = 1;
  Shape shape = Shape::kUniform;
  /// Uniform: bounds.
  double low = 0;
  double high = 0;
  /// Lognormal: median and standard deviation of the logarithm, cut to [low, high].
  double median = 0;
  double sigma = 0;
};

using Distribution = std::vector<DistributionPart>;

/// Draws one value. Boost.Random gives the same values with every standard library.
double Draw(const Distribution& distribution, Random& random);

struct WorkloadKind {
  std::string name;
  double weight = 1;
  Distribution tasks;
  Distribution run_ms;
  /// Zero leaves the deadline to the service document.
  Milliseconds deadline{0};
};

struct WorkloadEndpoint {
  int slots = 8;
  double speed = 1;
};

struct WorkloadTeam {
  std::string name;
  double weight = 1;
};

/// Multiplies the arrival rate during a part of the run.
struct WorkloadBurst {
  double from_s = 0;
  double to_s = 0;
  double factor = 1;
};

/// A POST to the /control of a stand-in during the run.
struct WorkloadControl {
  double at_s = 0;
  /// Position of the endpoint stand-in; nothing means the platform stand-in.
  std::optional<std::size_t> endpoint;
  std::string body;
};

/// Cancels a share of the jobs in progress.
struct WorkloadCancellation {
  double at_s = 0;
  double share = 0;
};

struct Workload {
  std::string name;
  std::string service;
  std::uint64_t seed = 1;
  double duration_s = 10;
  /// Jobs that are due earlier are sent but not measured.
  double warmup_s = 0;
  /// Offered work as a share of the capacity of all endpoints.
  double load = 0.5;
  std::vector<WorkloadKind> kinds;
  std::vector<WorkloadTeam> teams;
  std::vector<WorkloadEndpoint> endpoints;
  /// Nothing: no declared sizes. Otherwise each size is declared wrong by this factor, up or down.
  std::optional<double> declared_error;
  /// One-way latency between callers and entries.
  double caller_latency_ms = 0;
  /// Latency that the endpoint stand-ins add to each answer: that of a round trip. They take whole
  /// milliseconds.
  int endpoint_latency_ms = 0;
  /// How often a job is sent again, with its ticket, when its connection breaks.
  int resubmissions = 0;
  std::vector<WorkloadBurst> bursts;
  std::vector<WorkloadControl> controls;
  std::vector<WorkloadCancellation> cancellations;

  /// Milliseconds of work at speed 1 that the endpoints do in a millisecond.
  double Capacity() const;
};

/// Decodes a workload. Errors name the path, what is wrong and the remedy.
Result<Workload> ParseWorkload(std::string_view text);

}  // namespace quetzalvale
