/// Counters and distributions of one process, as served at /metrics.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace quetzalvale {

/// Named counters, gauges and distributions (Boost.Accumulators). Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds to the counter of that name, which starts at zero.
  void Add(std::string_view name, std::uint64_t amount = 1);

  /// Sets the gauge of that name.
  void Set(std::string_view name, double value);

  /// Adds one sample to the distribution of that name.
  void Observe(std::string_view name, double value);

  /// Returns the counter's value; zero if it was never added to.
  std::uint64_t Count(std::string_view name) const;

  /// Returns one `name value` line per figure, sorted by name. Distributions give
  /// `_count`, `_mean`, `_max`, `_p50` and `_p99`.
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace quetzalvale
