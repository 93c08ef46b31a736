#include "core/policy/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <vector>

namespace quetzalvale {
namespace {

/// Extra round-trip time to another data centre; about 1 ms in both deployments.
constexpr double kOtherDataCentreUs = 1000;

/// Expected finishes within this relative difference count as equal. Run times are not predicted
/// more precisely, and if all entries picked the same best agent, their tasks would collide there.
constexpr double kFinishTolerance = 0.02;

/// An endpoint that already gets another task of the same job counts as equally good within this
/// relative difference. Speeds of endpoints differ by up to a factor of two, so a larger tolerance
/// would fill the fast ones, which have to stay free for the longest tasks.
constexpr double kJoinTolerance = 0.15;

/// A task waits for a busy endpoint only if it is expected to finish there within this share of the
/// best finish on a free one. The expected wait does not include tasks that wait at other entries,
/// and waits that are extended again and again cause the longest response times. Measured on the
/// programs in which speeds differ by two: 0.45 gave p99 response ratios of 2.6 and 3.0 and left
/// large jobs on slow endpoints; 0.6 gave 2.1 to 2.7; 0.75 gave 3.0 and left single tasks waiting.
constexpr double kMaxBusyFinishRatio = 0.6;

/// Endpoints whose expected finishes differ by less than this are equally good for a task with a
/// target. All entries see the same speeds, and their tasks would collide on the best endpoint.
constexpr double kTargetFinishTolerance = 0.08;

/// Fast endpoints and short runs take about this share of the expected run time.
constexpr double kShortRunFactor = 0.75;

/// An endpoint with less than this share of the median speed has a fault and is not taken for the
/// slow kind of the fleet. Kinds of endpoints differ by about a factor of two.
constexpr double kFaultySpeedShare = 0.33;

/// Time for messages and hand-over before and after a run.
constexpr double kMessagingOverheadUs = 12000;

/// One task in ten takes longer than its expected run time times this factor.
constexpr double kP90RunFactor = 1.45;

/// One task in twenty takes longer than its expected run time times this factor if declarations are
/// off by 40%. The tasks of a job have similar lengths, so the job fails no more often than that.
constexpr double kP95RunFactor = 1.9;

/// Endpoints that are faster than the slowest one by this factor are reserved for tasks that need
/// them. Different kinds of endpoints differ by about a factor of two, and the learned speeds of
/// equal endpoints differ by less than this factor.
constexpr double kFastSpeedRatio = 1.3;

/// Share of the capacity of a fast endpoint that is reserved for such tasks: enough for a job of
/// mean size on an endpoint that runs ten to sixteen tasks at a time.
constexpr double kReservedShare = 0.25;

/// From this free share on, a task on the endpoint does not take capacity that other tasks need.
constexpr double kAmpleFreeShare = 0.5;

using Choice = std::optional<std::size_t>;

std::size_t DrawIndex(std::size_t count, Random& random) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

double RunUs(const Candidate& candidate, const PlacementQuery& query) {
  return static_cast<double>(query.expected.count()) * candidate.run_factor /
         std::max(candidate.speed, 1e-3);
}

double FinishUs(const Candidate& candidate, const PlacementQuery& query) {
  return static_cast<double>(candidate.expected_wait.count()) + RunUs(candidate, query) +
         (candidate.same_data_centre ? 0 : kOtherDataCentreUs);
}

/// Expected finish on a busy agent, after the tasks that this entry has already left waiting. These
/// are assumed to spread over the slots of all busy agents.
double BusyFinishUs(const Candidate& candidate, const PlacementQuery& query, double busy_slots) {
  const double ahead = query.waiting_ahead / std::max(1.0, busy_slots);
  return FinishUs(candidate, query) + ahead * RunUs(candidate, query);
}

/// Picks at random among the free candidates whose expected finish is about the earliest.
Choice EarliestFinish(std::span<const Candidate> candidates, const PlacementQuery& query,
                      Random& random) {
  double best_free = -1;
  double busy_slots = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.free_slots <= 0) {
      busy_slots += candidate.slots;
      continue;
    }
    const double finish = FinishUs(candidate, query);
    if (best_free < 0 || finish < best_free) best_free = finish;
  }
  if (best_free < 0) {
    return std::nullopt;
  }
  Choice chosen;
  std::size_t equal = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (candidate.free_slots <= 0) {
      if (BusyFinishUs(candidate, query, busy_slots) < kMaxBusyFinishRatio * best_free) {
        return std::nullopt;
      }
      continue;
    }
    if (FinishUs(candidate, query) > best_free * (1 + kFinishTolerance)) {
      continue;
    }
    ++equal;
    if (DrawIndex(equal, random) == 0) chosen = i;
  }
  return chosen;
}

/// Whether the endpoint has enough free capacity that a task there takes none from tasks that need
/// its speed.
bool HasAmpleCapacity(const Candidate& candidate) {
  return candidate.free_slots > 0 && candidate.free_share >= kAmpleFreeShare;
}

/// Whether a run of `factor` times the expected length finishes before the deadline.
bool MeetsDeadline(const Candidate& candidate, const PlacementQuery& query, double factor) {
  const double finish_us =
      FinishUs(candidate, query) + kMessagingOverheadUs + (factor - 1) * RunUs(candidate, query);
  return finish_us <= static_cast<double>(query.time_left.count());
}

/// Whether a task on this endpoint finishes on time, and before the deadline even if it runs longer
/// than expected. The target grows with the length of the task; the deadline does not.
bool EndsOnTime(const Candidate& candidate, const PlacementQuery& query) {
  const double finish_us = FinishUs(candidate, query) + kMessagingOverheadUs;
  return finish_us <= static_cast<double>(query.on_time_left->count()) &&
         MeetsDeadline(candidate, query, kP90RunFactor);
}

/// Speed of the slowest kind of endpoint. Endpoints that have become slow by a fault do not count;
/// otherwise all others would be reserved as fast ones. Precondition: there are candidates.
double SlowestSpeed(std::span<const Candidate> candidates) {
  std::vector<double> speeds;
  speeds.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    speeds.push_back(candidate.speed);
  }
  const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::ranges::nth_element(speeds, middle);
  const double limit = *middle * kFaultySpeedShare;
  double slowest = *middle;
  for (const double speed : speeds) {
    slowest = speed >= limit ? std::min(slowest, speed) : slowest;
  }
  return slowest;
}

/// Whether the remaining free capacity of a fast endpoint is reserved for other tasks.
bool IsReservedForOthers(const Candidate& candidate, const PlacementQuery& query, double slowest) {
  return query.reserve_fast_endpoints && candidate.speed > kFastSpeedRatio * slowest &&
         candidate.free_share < kReservedShare &&
         MeetsDeadline({.speed = slowest}, query, kP95RunFactor);
}

/// Rank of an endpoint for a task with a target. Lower is better; fields are compared in order.
struct Preference {
  /// The task would be late there, or the free capacity is reserved for other tasks.
  bool late = false;
  /// The task's data is elsewhere, and it could wait for an endpoint near the data.
  bool remote = false;
  bool busy = false;
  /// A very long run would miss the deadline.
  bool risky = false;
  /// The endpoint has little free capacity.
  bool scarce = false;
  /// Expected finish. Negated for endpoints with little free capacity that finish the task on time,
  /// so that the slowest of them comes first.
  double sort_finish_us = 0;

  auto operator<=>(const Preference&) const = default;  // NOLINT(modernize-use-nullptr)
};

Preference PreferenceFor(const Candidate& candidate, const PlacementQuery& query, double slowest) {
  const double finish_us = FinishUs(candidate, query);
  const bool remote = candidate.run_factor > 1 && query.may_wait_near_data;
  // A remote run takes several times the capacity, which only an idle endpoint has to spare.
  if (!EndsOnTime(candidate, query) || (remote && !HasAmpleCapacity(candidate))) {
    return {true, remote, candidate.full, false, false, finish_us};
  }
  if (IsReservedForOthers(candidate, query, slowest)) {
    return {true, remote, true, false, false, finish_us};
  }
  const bool busy = candidate.free_slots <= 0;
  const bool risky = !MeetsDeadline(candidate, query, kP95RunFactor);
  const bool scarce = !busy && !HasAmpleCapacity(candidate);
  return {false, remote, busy, risky, scarce, scarce ? -finish_us : finish_us};
}

/// Returns by how much the expected finish is worse than the best, relative to the best; infinity
/// if the preferences differ in any other field.
double FinishDifference(const Preference& best, Preference preference) {
  const double difference = std::abs(preference.sort_finish_us - best.sort_finish_us);
  preference.sort_finish_us = best.sort_finish_us;
  return preference == best ? difference / std::max(1.0, std::abs(best.sort_finish_us))
                            : std::numeric_limits<double>::infinity();
}

/// Handles fleets in which only few endpoints are fast enough for the longest tasks. A task goes to
/// the slowest endpoint that still finishes it on time, so that the fast ones stay free for the
/// tasks that need them. If no endpoint finishes it on time, it goes to the one with the earliest
/// finish, unless even a short run would miss the deadline there. A task runs near its data while
/// it can wait for that. While other tasks need the fast endpoints to meet their deadlines, some
/// capacity there is kept free of tasks that would merely be late elsewhere. The choice among
/// roughly equal endpoints is random, weighted by their free capacity, because a fixed choice would
/// make entries collide there. The tasks of a job share the endpoint of the job's first task while
/// it is about as good as the best, because messages are the largest part of a job's cost to an
/// entry; they don't share a much faster endpoint, which would take capacity that the longest tasks
/// need.
Choice SlowestOnTime(std::span<const Candidate> candidates, const PlacementQuery& query,
                     Random& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double slowest = SlowestSpeed(candidates);
  std::vector<Preference> preferences;
  preferences.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    preferences.push_back(PreferenceFor(candidate, query, slowest));
  }
  const Preference& best = *std::ranges::min_element(preferences);
  Choice chosen;
  double total_weight = 0;
  bool found_joinable = false;
  std::uniform_real_distribution<double> unit(0, 1);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double difference = FinishDifference(best, preferences[i]);
    const bool may_join = candidates[i].has_pending_message && !best.late && !best.busy;
    if (may_join && difference <= kJoinTolerance) {
      total_weight = found_joinable ? total_weight : 0;
      found_joinable = true;
    } else if (found_joinable || difference > kTargetFinishTolerance) {
      continue;
    }
    const double weight = std::max(1.0, candidates[i].free_share * candidates[i].slots);
    total_weight += weight;
    if (unit(random) * total_weight < weight) chosen = i;
  }
  if (!chosen || candidates[*chosen].full || (best.late && best.remote) ||
      !MeetsDeadline(candidates[*chosen], query, kShortRunFactor)) {
    return std::nullopt;
  }
  return chosen;
}

Choice DefaultPlacement(std::span<const Candidate> candidates, const PlacementQuery& query,
                        Random& random) {
  return query.on_time_left ? SlowestOnTime(candidates, query, random)
                            : EarliestFinish(candidates, query, random);
}

Choice RandomChoice(std::span<const Candidate> candidates, const PlacementQuery& /*query*/,
                    Random& random) {
  if (candidates.empty()) return std::nullopt;
  return DrawIndex(candidates.size(), random);
}

Choice LeastOutstanding(std::span<const Candidate> candidates, const PlacementQuery& /*query*/,
                        Random& random) {
  Choice chosen;
  std::size_t equal = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const int outstanding = candidates[i].own_outstanding;
    if (chosen && outstanding > candidates[*chosen].own_outstanding) continue;
    if (!chosen || outstanding < candidates[*chosen].own_outstanding) equal = 0;
    ++equal;
    if (DrawIndex(equal, random) == 0) chosen = i;
  }
  return chosen;
}

Choice PowerOfTwo(std::span<const Candidate> candidates, const PlacementQuery& /*query*/,
                  Random& random) {
  if (candidates.empty()) return std::nullopt;
  const std::size_t first = DrawIndex(candidates.size(), random);
  const std::size_t second = DrawIndex(candidates.size(), random);
  const bool second_less = candidates[second].own_outstanding < candidates[first].own_outstanding;
  return second_less ? second : first;
}

PlacementHook MakeRoundRobin() {
  return [next = std::size_t{0}](std::span<const Candidate> candidates,
                                 const PlacementQuery& /*query*/,
                                 Random& /*random*/) mutable -> Choice {
    if (candidates.empty()) return std::nullopt;
    return next++ % candidates.size();
  };
}

}  // namespace

bool NeedsFastEndpoint(std::span<const Candidate> candidates, const PlacementQuery& query) {
  if (candidates.empty()) {
    return false;
  }
  const double slowest = SlowestSpeed(candidates);
  const double fastest = std::ranges::max(candidates, {}, &Candidate::speed).speed;
  return fastest > kFastSpeedRatio * slowest &&
         !MeetsDeadline({.speed = slowest}, query, kP95RunFactor);
}

PlacementHook MakePlacement(PlacementPolicy policy) {
  switch (policy) {
    case PlacementPolicy::kRandom:
      return RandomChoice;
    case PlacementPolicy::kRoundRobin:
      return MakeRoundRobin();
    case PlacementPolicy::kLeastOutstanding:
      return LeastOutstanding;
    case PlacementPolicy::kPowerOfTwo:
      return PowerOfTwo;
    case PlacementPolicy::kDefault:
      break;
  }
  return DefaultPlacement;
}

}  // namespace quetzalvale
