#include "load/clairvoyant.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace quetzalvale {
namespace {

/// Times at which the slots of one endpoint become free, the earliest first.
using Slots = std::priority_queue<double, std::vector<double>, std::greater<>>;

double FinishAt(const Slots& slots, double speed, double arrival_ms, double run_ms) {
  return std::max(arrival_ms, slots.top()) + run_ms / speed;
}

/// Places one task and returns its finish.
double Place(std::vector<Slots>& fleet, std::span<const WorkloadEndpoint> endpoints,
             double arrival_ms, double run_ms) {
  std::size_t best = 0;
  double best_finish = FinishAt(fleet[0], endpoints[0].speed, arrival_ms, run_ms);
  for (std::size_t i = 1; i < fleet.size(); ++i) {
    const double finish = FinishAt(fleet[i], endpoints[i].speed, arrival_ms, run_ms);
    if (finish < best_finish) {
      best = i;
      best_finish = finish;
    }
  }
  fleet[best].pop();
  fleet[best].push(best_finish);
  return best_finish;
}

std::vector<double> LongestFirst(const PlannedJob& job) {
  std::vector<double> runs;
  for (const PlannedTask& task : job.tasks) runs.push_back(task.run_ms);
  std::sort(runs.begin(), runs.end(), std::greater<>());
  return runs;
}

}  // namespace

std::vector<double> ClairvoyantResponses(std::span<const PlannedJob> jobs,
                                         std::span<const WorkloadEndpoint> endpoints,
                                         double one_way_latency_ms) {
  std::vector<Slots> fleet;
  for (const WorkloadEndpoint& endpoint : endpoints) {
    const auto slots = static_cast<std::size_t>(endpoint.slots);
    fleet.emplace_back(std::greater<>(), std::vector<double>(slots, 0.0));
  }
  std::vector<double> responses;
  for (const PlannedJob& job : jobs) {
    const double arrival_ms = job.at_ms + one_way_latency_ms;
    double finish = arrival_ms;
    for (const double run_ms : LongestFirst(job)) {
      finish = std::max(finish, Place(fleet, endpoints, arrival_ms, run_ms));
    }
    responses.push_back(finish + one_way_latency_ms - job.at_ms);
  }
  return responses;
}

}  // namespace quetzalvale
