#include "core/policy/run_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace quetzalvale {
namespace {

/// Weight of a new run. The present mean follows about thirty runs, half a second of work on a
/// busy worker; the long-term mean follows some seconds.
constexpr double kPresentWeight = 0.03;
constexpr double kUsualWeight = 0.003;

/// Number of ended runs after which the means are used.
constexpr double kMinRuns = 16;

/// A run is overdue after this multiple of its expected time at the worker's present speed. One run
/// in twenty takes that long on a worker that has not changed.
constexpr double kOverdueFactor = 2;

/// The worker counts as slow when at least so many runs, of so many jobs and this share of the runs
/// in progress, are overdue. The tasks of one job have similar lengths, so a single job proves
/// nothing.
constexpr std::size_t kMinOverdueRuns = 3;
constexpr std::size_t kMinOverdueJobs = 2;
constexpr double kMinOverdueShare = 0.3;

/// Limit on the effect of a single run.
constexpr double kMaxLogSlowness = 4;

/// While nothing runs, the estimate returns from the present to the long-term mean, halving the
/// difference in this time. Nothing would be learned about a worker that entries avoid otherwise.
constexpr std::chrono::duration<double> kReturnHalfTime{1.0};

double Seconds(Time::duration time) { return std::chrono::duration<double>(time).count(); }

double LogSlownessOf(Time::duration elapsed, double expected_us) {
  const double elapsed_us = std::max(1.0, Seconds(elapsed) * 1e6);
  return std::clamp(std::log(elapsed_us / expected_us), -kMaxLogSlowness, kMaxLogSlowness);
}

}  // namespace

void RunSpeed::Started(const TaskKey& task, Microseconds expected, Time now) {
  if (expected.count() <= 0) {
    return;
  }
  this->log_slowness = this->LogSlownessByEndedRuns(now);
  this->running[task] = {static_cast<double>(expected.count()), now};
}

void RunSpeed::Ended(const TaskKey& task, bool completed, Time now) {
  const auto node = this->running.extract(task);
  if (node.empty()) {
    return;
  }
  this->idle_since = now;
  if (!completed) {
    return;
  }
  const Run& run = node.mapped();
  const double sample = LogSlownessOf(now - run.started, run.expected_us);
  const double first = 1 / (this->ended_runs + 1);
  this->log_slowness += std::max(kPresentWeight, first) * (sample - this->log_slowness);
  this->usual_log_slowness += std::max(kUsualWeight, first) * (sample - this->usual_log_slowness);
  this->ended_runs += 1;
}

double RunSpeed::LogSlownessByEndedRuns(Time now) const {
  if (!this->running.empty()) {
    return this->log_slowness;
  }
  const double idle_s = std::max(0.0, Seconds(now - this->idle_since));
  const double remaining = std::exp2(-idle_s / kReturnHalfTime.count());
  return this->usual_log_slowness + remaining * (this->log_slowness - this->usual_log_slowness);
}

double RunSpeed::Speed(Time now) const {
  const double by_ended = this->LogSlownessByEndedRuns(now);
  const double overdue_from = by_ended + std::log(kOverdueFactor);
  std::size_t overdue = 0;
  double sum = 0;
  std::set<std::uint64_t> jobs;
  for (const auto& [task, run] : this->running) {
    const double so_far = LogSlownessOf(now - run.started, run.expected_us);
    if (so_far > overdue_from) {
      ++overdue;
      sum += so_far;
      jobs.insert(task.ticket.sequence ^ task.ticket.owner.low);
    }
  }
  const bool is_slow =
      overdue >= kMinOverdueRuns && jobs.size() >= kMinOverdueJobs &&
      static_cast<double>(overdue) >= kMinOverdueShare * static_cast<double>(this->running.size());
  if (is_slow) {
    return std::exp(-sum / static_cast<double>(overdue));
  }
  return this->ended_runs < kMinRuns ? 0 : std::exp(-by_ended);
}

}  // namespace quetzalvale
