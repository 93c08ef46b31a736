#include "load/job_plan.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace quetzalvale {
namespace {

/// The offered work of a period differs from the stated load by at most this share.
constexpr double kTolerance = 0.005;

/// Draws in a row that exceed the rest of the offered work. A period too short for the tolerance
/// then keeps what it has.
constexpr int kLargestMisses = 200;

template <typename Item>
std::size_t DrawWeighted(const std::vector<Item>& items, Random& random) {
  double total = 0;
  for (const Item& item : items) total += item.weight;
  double position = boost::random::uniform_01<double>()(random) * total;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (position < items[i].weight) return i;
    position -= items[i].weight;
  }
  return items.size() - 1;
}

PlannedTask DrawTask(const Workload& workload, const WorkloadKind& kind, Random& random) {
  PlannedTask task;
  task.run_ms = Draw(kind.run_ms, random);
  const bool too_large = boost::random::uniform_01<double>()(random) < 0.5;
  if (workload.declared_error) {
    const double factor = *workload.declared_error;
    task.declared_ms = std::max(1.0, too_large ? task.run_ms * factor : task.run_ms / factor);
  }
  return task;
}

PlannedJob DrawJob(const Workload& workload, Random& random) {
  PlannedJob job;
  job.kind = DrawWeighted(workload.kinds, random);
  job.team = DrawWeighted(workload.teams, random);
  const WorkloadKind& kind = workload.kinds[job.kind];
  const auto tasks = std::max<std::int64_t>(1, std::llround(Draw(kind.tasks, random)));
  for (std::int64_t i = 0; i < tasks; ++i) {
    job.tasks.push_back(DrawTask(workload, kind, random));
  }
  return job;
}

double BurstFactor(const Workload& workload, double at_ms) {
  double factor = 1;
  for (const WorkloadBurst& burst : workload.bursts) {
    if (at_ms >= burst.from_s * 1000 && at_ms < burst.to_s * 1000) factor *= burst.factor;
  }
  return factor;
}

/// A part of the run in which the arrival rate is constant.
struct Segment {
  double from_ms = 0;
  double to_ms = 0;
  double factor = 1;

  double Weight() const { return (this->to_ms - this->from_ms) * this->factor; }
};

std::vector<Segment> Segments(const Workload& workload, double from_ms, double to_ms) {
  std::set<double> bounds{from_ms, to_ms};
  for (const WorkloadBurst& burst : workload.bursts) {
    bounds.insert(std::clamp(burst.from_s * 1000, from_ms, to_ms));
    bounds.insert(std::clamp(burst.to_s * 1000, from_ms, to_ms));
  }
  std::vector<Segment> segments;
  for (auto next = std::next(bounds.begin()); next != bounds.end(); ++next) {
    const double begin = *std::prev(next);
    segments.push_back({begin, *next, BurstFactor(workload, begin)});
  }
  return segments;
}

/// The time before which this share of the segments' arrivals is expected.
double TimeOfShare(const std::vector<Segment>& segments, double share) {
  double total = 0;
  for (const Segment& segment : segments) total += segment.Weight();
  double weight = share * total;
  for (const Segment& segment : segments) {
    if (weight < segment.Weight()) return segment.from_ms + weight / segment.factor;
    weight -= segment.Weight();
  }
  return segments.back().to_ms;
}

/// Draws jobs until their work is the offered work. A job that exceeds it is left out.
std::vector<PlannedJob> DrawWork(const Workload& workload, double offered_ms, Random& random) {
  std::vector<PlannedJob> jobs;
  double work = 0;
  int misses = 0;
  while (work < offered_ms * (1 - kTolerance) && misses < kLargestMisses) {
    PlannedJob job = DrawJob(workload, random);
    const double with_job = work + job.WorkMs();
    if (!jobs.empty() && with_job > offered_ms * (1 + kTolerance)) {
      ++misses;
      continue;
    }
    misses = 0;
    work = with_job;
    jobs.push_back(std::move(job));
  }
  // Jobs accepted late fit into the rest and are small; at their drawn places the load would fall
  // towards the end of the period.
  for (std::size_t i = jobs.size(); i > 1; --i) {
    std::swap(jobs[i - 1],
              jobs[boost::random::uniform_int_distribution<std::size_t>(0, i - 1)(random)]);
  }
  return jobs;
}

/// Adds the jobs of one period. Given their number, the gaps between Poisson arrivals are
/// exponential gaps scaled to the length of the period.
void PlanPeriod(const Workload& workload, double from_ms, double to_ms, Random& random,
                std::vector<PlannedJob>& jobs) {
  const std::vector<Segment> segments = Segments(workload, from_ms, to_ms);
  double weighted_ms = 0;
  for (const Segment& segment : segments) weighted_ms += segment.Weight();
  const double offered_ms = workload.load * workload.Capacity() * weighted_ms;
  if (offered_ms <= 0) return;
  std::vector<PlannedJob> period = DrawWork(workload, offered_ms, random);
  boost::random::exponential_distribution<double> gap(1);
  std::vector<double> positions;
  double position = 0;
  for (std::size_t i = 0; i < period.size(); ++i) positions.push_back(position += gap(random));
  const double end = position + gap(random);
  for (std::size_t i = 0; i < period.size(); ++i) {
    period[i].at_ms = TimeOfShare(segments, positions[i] / end);
    jobs.push_back(std::move(period[i]));
  }
}

}  // namespace

double PlannedJob::WorkMs() const {
  double work = 0;
  for (const PlannedTask& task : this->tasks) work += task.run_ms;
  return work;
}

std::vector<PlannedJob> PlanJobs(const Workload& workload) {
  Random random(workload.seed);
  const double end_ms = workload.duration_s * 1000;
  const double measured_ms = std::min(workload.warmup_s * 1000, end_ms);
  std::vector<PlannedJob> jobs;
  PlanPeriod(workload, 0, measured_ms, random, jobs);
  PlanPeriod(workload, measured_ms, end_ms, random, jobs);
  return jobs;
}

}  // namespace quetzalvale
