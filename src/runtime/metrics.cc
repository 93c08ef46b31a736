#include "runtime/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <string_view>
#include <utility>

#include "runtime/metric_names.h"

namespace quetzalvale {
namespace {

constexpr std::string_view kPrefix = "quetzalvale_";
constexpr std::string_view kProcessPrefix = "process_";

/// Upper bounds in seconds, from the time of one decision to the longest deadline.
prometheus::Histogram::BucketBoundaries Bounds() {
  return {0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
}

std::string PageName(const std::string& name) {
  return name.starts_with(kProcessPrefix) ? name : std::string(kPrefix) + name;
}

}  // namespace

struct Metrics::State {
  template <typename Figure>
  using Figures = std::map<std::pair<std::string, Labels>, Figure*>;

  /// Returns the figure, made by `builder` and `arguments` if there is none yet. The lookup in the
  /// registry would hash the labels each time.
  template <typename Figure, typename Builder, typename... Arguments>
  Figure& Find(Figures<Figure>& figures, Builder builder, const std::string& name,
               const Labels& labels, Arguments&&... arguments) {
    const std::lock_guard lock(this->mutex);
    Figure*& figure = figures[{name, labels}];
    if (figure == nullptr) {
      auto& family =
          builder.Name(PageName(name)).Help(std::string(MetricHelp(name))).Register(this->registry);
      figure = &family.Add(labels, std::forward<Arguments>(arguments)...);
    }
    return *figure;
  }

  prometheus::Counter& Counter(const std::string& name, const Labels& labels) {
    return this->Find(this->counters, prometheus::BuildCounter(), name, labels);
  }

  prometheus::Registry registry;
  std::mutex mutex;
  Figures<prometheus::Counter> counters;
  Figures<prometheus::Gauge> gauges;
  Figures<prometheus::Histogram> histograms;
};

Metrics::Metrics() : state(std::make_unique<State>()) {}

Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name, std::uint64_t amount, const Labels& labels) {
  this->state->Counter(name, labels).Increment(static_cast<double>(amount));
}

void Metrics::SetTotal(const std::string& name, double total, const Labels& labels) {
  prometheus::Counter& counter = this->state->Counter(name, labels);
  counter.Increment(total - counter.Value());
}

void Metrics::Set(const std::string& name, double value, const Labels& labels) {
  this->state->Find(this->state->gauges, prometheus::BuildGauge(), name, labels).Set(value);
}

void Metrics::Observe(const std::string& name, std::chrono::duration<double> value,
                      const Labels& labels) {
  this->state->Find(this->state->histograms, prometheus::BuildHistogram(), name, labels, Bounds())
      .Observe(value.count());
}

std::uint64_t Metrics::Count(const std::string& name) const {
  const std::lock_guard lock(this->state->mutex);
  const auto found = this->state->counters.find({name, Labels()});
  return found == this->state->counters.end() ? 0
                                              : static_cast<std::uint64_t>(found->second->Value());
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

}  // namespace quetzalvale
