#include "load/job_plan.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace quetzalvale {
namespace {

/// Jobs drawn to find the mean work; the rate is then known within about a hundredth.
constexpr int kSampleJobs = 20000;

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

double MeanWorkMs(const Workload& workload) {
  Random random(workload.seed + 1);
  double work = 0;
  for (int i = 0; i < kSampleJobs; ++i) work += DrawJob(workload, random).WorkMs();
  return work / kSampleJobs;
}

double BurstFactor(const Workload& workload, double at_ms) {
  double factor = 1;
  for (const WorkloadBurst& burst : workload.bursts) {
    if (at_ms >= burst.from_s * 1000 && at_ms < burst.to_s * 1000) factor *= burst.factor;
  }
  return factor;
}

}  // namespace

double PlannedJob::WorkMs() const {
  double work = 0;
  for (const PlannedTask& task : this->tasks) work += task.run_ms;
  return work;
}

std::vector<PlannedJob> PlanJobs(const Workload& workload) {
  const double jobs_per_ms = workload.load * workload.Capacity() / MeanWorkMs(workload);
  Random random(workload.seed);
  boost::random::exponential_distribution<double> gap(1);
  std::vector<PlannedJob> jobs;
  double at_ms = 0;
  while (true) {
    at_ms += gap(random) / (jobs_per_ms * std::max(BurstFactor(workload, at_ms), 1e-3));
    if (at_ms >= workload.duration_s * 1000) return jobs;
    PlannedJob job = DrawJob(workload, random);
    job.at_ms = at_ms;
    jobs.push_back(std::move(job));
  }
}

}  // namespace quetzalvale
