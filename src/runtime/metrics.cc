#include "runtime/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace quetzalvale {
namespace {

namespace acc = boost::accumulators;

using Summary =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;
using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct Distribution {
  Summary summary;
  Quantile p50{acc::quantile_probability = 0.5};
  Quantile p99{acc::quantile_probability = 0.99};

  void Observe(double value) {
    this->summary(value);
    this->p50(value);
    this->p99(value);
  }
};

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, Distribution, std::less<>> distributions;
};

Metrics::Metrics() : state(std::make_unique<State>()) {}

Metrics::~Metrics() = default;

void Metrics::Add(std::string_view name, std::uint64_t amount) {
  const std::lock_guard lock(this->state->mutex);
  auto found = this->state->counters.find(name);
  if (found == this->state->counters.end()) {
    found = this->state->counters.emplace(name, 0).first;
  }
  found->second += amount;
}

void Metrics::Set(std::string_view name, double value) {
  const std::lock_guard lock(this->state->mutex);
  this->state->gauges.insert_or_assign(std::string(name), value);
}

void Metrics::Observe(std::string_view name, double value) {
  const std::lock_guard lock(this->state->mutex);
  auto found = this->state->distributions.find(name);
  if (found == this->state->distributions.end()) {
    found = this->state->distributions.try_emplace(std::string(name)).first;
  }
  found->second.Observe(value);
}

std::uint64_t Metrics::Count(std::string_view name) const {
  const std::lock_guard lock(this->state->mutex);
  const auto found = this->state->counters.find(name);
  return found == this->state->counters.end() ? 0 : found->second;
}

std::string Metrics::Text() const {
  const std::lock_guard lock(this->state->mutex);
  std::map<std::string, std::string> lines;
  for (const auto& [name, value] : this->state->counters) {
    lines[name] = std::to_string(value);
  }
  for (const auto& [name, value] : this->state->gauges) {
    lines[name] = std::to_string(value);
  }
  for (const auto& [name, distribution] : this->state->distributions) {
    lines[name + "_count"] = std::to_string(acc::count(distribution.summary));
    lines[name + "_mean"] = std::to_string(acc::mean(distribution.summary));
    lines[name + "_max"] = std::to_string(acc::max(distribution.summary));
    lines[name + "_p50"] = std::to_string(acc::p_square_quantile(distribution.p50));
    lines[name + "_p99"] = std::to_string(acc::p_square_quantile(distribution.p99));
  }
  std::ostringstream text;
  for (const auto& [name, value] : lines) {
    text << name << ' ' << value << '\n';
  }
  return text.str();
}

}  // namespace quetzalvale
