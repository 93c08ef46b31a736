#include "core/policy/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace quetzalvale {
namespace {

/// Smallest weight of a new run: estimates follow changes within about a hundred runs of a kind and
/// thirty of an endpoint.
constexpr double kMinKindWeight = 0.01;
constexpr double kMinEndpointWeight = 0.03;

/// A run enters the mean as at most this multiple of the typical run of its kind, so that one
/// straggler moves an established mean by at most a tenth.
constexpr double kStragglerLimit = 10;

/// Number of runs after which the mean of a kind, and its comparison with declarations, are used.
constexpr double kMinLearnedRuns = 20;

/// The error of declarations must be below that of the mean by this factor; without it the choice
/// would alternate on noise.
constexpr double kMaxDeclaredErrorRatio = 0.8;

/// A declaration changes the expected run time by at most this factor from the mean of the kind.
constexpr double kMaxDeclaredFactor = 50;

/// Limit on a single error (a factor of about 20), so that one straggler cannot decide the choice.
constexpr double kMaxError = 3;

double Micros(Microseconds time) { return std::max(1.0, static_cast<double>(time.count())); }

void Blend(double& estimate, double sample, double step) { estimate += step * (sample - estimate); }

}  // namespace

void RunTimeModel::SetPrior(std::string_view kind, Microseconds expected, bool trust_declared) {
  KindEstimate& estimate = this->kinds[std::string(kind)];
  estimate.prior_us = Micros(expected);
  estimate.trust_declared = trust_declared;
}

void RunTimeModel::Observe(std::string_view kind_name, std::string_view endpoint_name,
                           Microseconds declared, Microseconds run_time) {
  KindEstimate& kind = this->kinds[std::string(kind_name)];
  SpeedEstimate& endpoint = this->endpoints[std::string(endpoint_name)];
  if (endpoint.runs == 0) {
    const double known = static_cast<double>(this->endpoints.size() - 1);
    endpoint.log_slowness = known > 0 ? this->log_slowness_sum / known : 0;
    this->log_slowness_sum += endpoint.log_slowness;
  }
  const double run_log = std::log(Micros(run_time));
  const double size_us = std::exp(run_log - endpoint.log_slowness);
  if (declared.count() > 0) {
    LearnDeclared(kind, Micros(declared), size_us);
  }
  LearnMean(kind, size_us);
  // Updates the kind before the endpoint. The first run of a new kind then has no effect on the
  // endpoint's speed, and a wrong prior is not mistaken for a difference in speed.
  const double predicted_log = declared.count() > 0 && PrefersDeclared(kind)
                                   ? std::log(Micros(declared)) + kind.declared_log
                                   : kind.mean_log;
  const double before = endpoint.log_slowness;
  Blend(endpoint.log_slowness, run_log - predicted_log,
        std::max(kMinEndpointWeight, 1 / (endpoint.runs + 2)));
  endpoint.runs += 1;
  this->log_slowness_sum += endpoint.log_slowness - before;
}

void RunTimeModel::LearnDeclared(KindEstimate& kind, double declared_us, double size_us) {
  const double size_log = std::log(size_us);
  const double declared_log = std::log(declared_us);
  const double step = std::max(kMinKindWeight, 1 / (kind.declared_runs + 1));
  if (kind.declared_runs > 0) {
    const double declared_error = std::abs(size_log - declared_log - kind.declared_log);
    const double mean_error = std::abs(size_log - kind.mean_log);
    Blend(kind.declared_error, std::min(declared_error, kMaxError), step);
    Blend(kind.mean_error, std::min(mean_error, kMaxError), step);
  }
  Blend(kind.declared_log, size_log - declared_log, step);
  const double limit = kStragglerLimit * std::exp(kind.declared_log);
  Blend(kind.declared_factor, std::min(size_us / declared_us, limit), step);
  kind.declared_runs += 1;
}

void RunTimeModel::LearnMean(KindEstimate& kind, double size_us) {
  const double step = std::max(kMinKindWeight, 1 / (kind.runs + 1));
  Blend(kind.mean_log, std::log(size_us), step);
  const double limit = kStragglerLimit * std::exp(kind.mean_log);
  Blend(kind.mean_us, std::min(size_us, limit), step);
  kind.runs += 1;
}

bool RunTimeModel::PrefersDeclared(const KindEstimate& kind) {
  return kind.declared_runs >= kMinLearnedRuns &&
         kind.declared_error < kMaxDeclaredErrorRatio * kind.mean_error;
}

double RunTimeModel::Blended(const KindEstimate& kind, double declared_us) {
  // Weights the two predictions by their squared errors, as for independent normal errors.
  const double by_mean = kind.mean_error * kind.mean_error;
  const double by_declared = kind.declared_error * kind.declared_error;
  const double weight = by_mean + by_declared > 0 ? by_mean / (by_mean + by_declared) : 0;
  const double declared_log = std::log(declared_us) + kind.declared_log;
  const double blended_log = kind.mean_log + weight * (declared_log - kind.mean_log);
  // Converts the typical (geometric mean) run time of the kind to the mean.
  return std::exp(blended_log) * kind.mean_us / std::exp(kind.mean_log);
}

Microseconds RunTimeModel::Expected(std::string_view kind_name, Microseconds declared) const {
  const auto found = this->kinds.find(kind_name);
  const KindEstimate kind = found == this->kinds.end() ? KindEstimate{} : found->second;
  if (kind.runs == 0) {
    const bool use_declared = kind.trust_declared && declared.count() > 0;
    return use_declared ? declared : Microseconds(std::llround(kind.prior_us));
  }
  double size_us = kind.mean_us;
  if (declared.count() > 0 && kind.trust_declared && kind.declared_runs >= kMinLearnedRuns) {
    size_us = std::clamp(Blended(kind, Micros(declared)), kind.mean_us / kMaxDeclaredFactor,
                         kind.mean_us * kMaxDeclaredFactor);
  } else if (declared.count() > 0 && PrefersDeclared(kind)) {
    size_us = std::clamp(Micros(declared) * kind.declared_factor, kind.mean_us / kMaxDeclaredFactor,
                         kind.mean_us * kMaxDeclaredFactor);
  }
  return Microseconds(std::llround(size_us * std::exp(this->MeanLogSlowness())));
}

bool RunTimeModel::IsLearned(std::string_view kind) const {
  const auto found = this->kinds.find(kind);
  return found != this->kinds.end() && found->second.runs >= kMinLearnedRuns;
}

double RunTimeModel::Speed(std::string_view endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return 1;
  }
  return std::exp(this->MeanLogSlowness() - found->second.log_slowness);
}

void RunTimeModel::Forget(std::string_view endpoint) {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  this->log_slowness_sum -= found->second.log_slowness;
  this->endpoints.erase(found);
}

double RunTimeModel::MeanLogSlowness() const {
  if (this->endpoints.empty()) {
    return 0;
  }
  return this->log_slowness_sum / static_cast<double>(this->endpoints.size());
}

}  // namespace quetzalvale
