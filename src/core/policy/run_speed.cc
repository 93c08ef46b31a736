#include "core/policy/run_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iterator>

namespace quetzalvale {
namespace {

/// Weight of a new run. The present mean follows about thirty runs, half a second of work on a
/// busy worker; the long-term mean follows some seconds.
constexpr double kPresentWeight = 0.03;
constexpr double kUsualWeight = 0.003;

/// Number of ended runs after which the means are used.
constexpr double kMinRuns = 16;

/// A run is overdue after this multiple of its expected time at the worker's usual speed. One run
/// in twenty takes that long on a worker that has not changed.
constexpr double kOverdueFactor = 2;

/// Run times relative to the expected ones are modelled as log-logistic. The scale is that of a
/// standard deviation of 0.4, as declared run times are off by 40%.
constexpr double kLogScale = 0.22;
/// Share of tasks that are long without their declared run time showing it, and how long they are.
constexpr double kLongShare = 0.03;
constexpr double kLongFactor = 7;

/// The slowdown that is tested: workers become slow by factors of 4 to 8.
constexpr double kSlowFactor = 4;

/// The worker counts as slow from this logarithm of the likelihood ratio. Long runs are seen for
/// longer, so nearly a fifth of the runs in progress are long ones, and three of three are in one
/// check of 170. Two overdue runs alone have to prove more.
constexpr double kMinEvidence = 7;
constexpr double kMinEvidenceOfFewRuns = 8;
constexpr std::size_t kFewOverdueRuns = 3;

/// Limit on the evidence by jobs without an overdue run. Many runs a little over their expected
/// time, as on a worker that is only somewhat slower, must not add up to a slowdown by kSlowFactor.
constexpr double kMaxEvidenceOfUsualRuns = 2.5;

/// Number of ended runs that are kept as evidence, and of overdue runs that are tried as the
/// beginning of the slowdown. They bound the work of an estimate.
constexpr std::size_t kMaxEndedRuns = 32;
constexpr std::size_t kMaxChanges = 4;

/// Limit on the effect of a single run.
constexpr double kMaxLogSlowness = 4;

/// While nothing runs, the estimate returns from the present to the long-term mean, halving the
/// difference in this time. Nothing would be learned about a worker that entries avoid otherwise.
constexpr std::chrono::duration<double> kReturnHalfTime{1.0};

std::uint64_t JobOf(const TaskKey& task) { return task.ticket.sequence ^ task.ticket.owner.low; }

double Seconds(Time::duration time) { return std::chrono::duration<double>(time).count(); }

double LogSlownessOf(Time::duration elapsed, double expected_us) {
  const double elapsed_us = std::max(1.0, Seconds(elapsed) * 1e6);
  return std::clamp(std::log(elapsed_us / expected_us), -kMaxLogSlowness, kMaxLogSlowness);
}

/// Logistic function of how far `log_ratio` lies above the expected value: the probability that a
/// run takes longer.
double TailOf(double log_ratio) { return 1 / (1 + std::exp(log_ratio / kLogScale)); }

/// Probability that a run takes longer than exp(`log_ratio`) times the usual time.
double ProbabilityOfLonger(double log_ratio) {
  return (1 - kLongShare) * TailOf(log_ratio) +
         kLongShare * TailOf(log_ratio - std::log(kLongFactor));
}

/// Density of the logarithm of run time over usual time, up to a constant factor.
double DensityOf(double log_ratio) {
  const double normal = TailOf(log_ratio);
  const double prolonged = TailOf(log_ratio - std::log(kLongFactor));
  return (1 - kLongShare) * normal * (1 - normal) + kLongShare * prolonged * (1 - prolonged);
}

}  // namespace

void RunSpeed::Started(const TaskKey& task, Microseconds expected, Time now) {
  if (expected.count() <= 0) {
    return;
  }
  this->log_slowness = this->LogSlownessByEndedRuns(now);
  if (this->running.empty() && Seconds(now - this->idle_since) >= kReturnHalfTime.count()) {
    // The worker may have changed meanwhile.
    this->ended.clear();
  }
  this->running[task] = {static_cast<double>(expected.count()), now, JobOf(task)};
}

void RunSpeed::Ended(const TaskKey& task, bool completed, Time now) {
  const auto node = this->running.extract(task);
  if (node.empty()) {
    return;
  }
  this->idle_since = now;
  Run& run = node.mapped();
  run.until = now;
  run.completed = completed;
  this->ended.push_back(run);
  if (this->ended.size() > kMaxEndedRuns) {
    this->ended.pop_front();
  }
  if (!completed) {
    return;
  }
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

std::vector<RunSpeed::Run> RunSpeed::RecentRuns(Time now) const {
  if (this->running.empty() && Seconds(now - this->idle_since) >= kReturnHalfTime.count()) {
    return {};
  }
  std::vector<Run> runs(this->ended.begin(), this->ended.end());
  for (const auto& [task, run] : this->running) {
    runs.push_back(run);
    runs.back().until = now;
  }
  std::ranges::sort(runs, {}, &Run::job);
  return runs;
}

std::vector<RunSpeed::Run> RunSpeed::OverdueRuns(const std::vector<Run>& runs) const {
  std::vector<Run> overdue;
  const double overdue_from = this->usual_log_slowness + std::log(kOverdueFactor);
  std::ranges::copy_if(runs, std::back_inserter(overdue), [&](const Run& run) {
    return LogSlownessOf(run.until - run.started, run.expected_us) > overdue_from;
  });
  std::ranges::sort(overdue, std::ranges::greater(), &Run::started);
  return overdue;
}

double RunSpeed::EvidenceOfSlowdown(const std::vector<Run>& runs, Time change) const {
  double evidence = 0;
  double evidence_of_usual_runs = 0;
  for (std::size_t i = 0; i < runs.size();) {
    const std::uint64_t job = runs[i].job;
    double sum = 0;
    int count = 0;
    bool overdue = false;
    for (; i < runs.size() && runs[i].job == job; ++i) {
      const Run& run = runs[i];
      if (run.until <= change) {
        continue;
      }
      const double usual_us = run.expected_us * std::exp(this->usual_log_slowness);
      const Time::duration before = std::max(Time::duration(0), change - run.started);
      const Time::duration after = run.until - std::max(change, run.started);
      const double usual = LogSlownessOf(before + after, usual_us);
      // What a worker at its usual speed would have needed for the same work.
      const double slowed = LogSlownessOf(
          before + std::chrono::duration_cast<Time::duration>(after / kSlowFactor), usual_us);
      if (run.completed) {
        // The last terms convert densities of work into densities of time.
        sum +=
            std::log(DensityOf(slowed) / DensityOf(usual)) + usual - slowed - std::log(kSlowFactor);
      } else {
        sum += std::log(ProbabilityOfLonger(slowed) / ProbabilityOfLonger(usual));
      }
      ++count;
      overdue = overdue || usual > std::log(kOverdueFactor);
    }
    if (count > 0) {
      // The tasks of one job have similar lengths, so they count as one.
      (overdue || sum < 0 ? evidence : evidence_of_usual_runs) += sum / count;
    }
  }
  return evidence + std::min(evidence_of_usual_runs, kMaxEvidenceOfUsualRuns);
}

double RunSpeed::Speed(Time now) const {
  const std::vector<Run> runs = this->RecentRuns(now);
  const std::vector<Run> overdue = this->OverdueRuns(runs);
  for (std::size_t i = 0; i < std::min(overdue.size(), kMaxChanges); ++i) {
    const Run& first = overdue[i];
    // The worker may have become slow in the middle of the run.
    const auto half = std::chrono::duration_cast<Time::duration>(
        std::chrono::duration<double, std::micro>(first.expected_us / 2));
    for (const Time change : {first.started, first.started + half}) {
      double sum = 0;
      std::size_t count = 0;
      for (const Run& run : overdue) {
        if (run.until > change) {
          sum += LogSlownessOf(run.until - run.started, run.expected_us);
          ++count;
        }
      }
      if (this->EvidenceOfSlowdown(runs, change) >=
          (count < kFewOverdueRuns ? kMinEvidenceOfFewRuns : kMinEvidence)) {
        return std::exp(-sum / static_cast<double>(count));
      }
    }
  }
  return this->ended_runs < kMinRuns ? 0 : std::exp(-this->LogSlownessByEndedRuns(now));
}

}  // namespace quetzalvale
