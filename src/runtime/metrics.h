/// Counters and distributions of one process, as served at /metrics.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace quetzalvale {

/// Named counters, gauges and histograms of durations (prometheus-cpp), served in the text format
/// of Prometheus. Every name is in the catalogue of metric_names.h; on the page it gets the prefix
/// `quetzalvale_` unless it is one of the conventional `process_` names. Thread-safe.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  /// Media type of Text().
  static constexpr const char* kContentType = "text/plain; version=0.0.4";

  Metrics();
  ~Metrics();

  /// Adds to the counter, which starts at zero.
  void Add(const std::string& name, std::uint64_t amount = 1, const Labels& labels = {});

  /// Sets the counter to a total that is kept elsewhere. A lower total than before is ignored.
  void SetTotal(const std::string& name, double total, const Labels& labels = {});

  /// Sets the gauge.
  void Set(const std::string& name, double value, const Labels& labels = {});

  /// Adds one sample to the histogram, in seconds as its name says.
  void Observe(const std::string& name, std::chrono::duration<double> value,
               const Labels& labels = {});

  /// Returns the value of the counter without labels; zero if it was never added to.
  std::uint64_t Count(const std::string& name) const;

  /// Returns all figures in the text format.
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace quetzalvale
