#include "core/policy/overload_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <queue>
#include <tuple>
#include <utility>

namespace quetzalvale {
namespace {

/// Time constant of the numbers of served jobs.
constexpr std::chrono::duration<double> kCountedTime{5};
constexpr Milliseconds kDecayInterval{100};

/// Jobs that can only be late are kept only if none was turned away for lack of capacity for this
/// long: what they use would be missing for the jobs that arrive next.
constexpr std::chrono::seconds kSurplusMemory{1};

/// Number of jobs from which the size of the largest tenth of a kind is determined. With 400, the
/// largest tenth was served less often than promised in 3 of 120 simulated overloads, with 1,000 in
/// none.
constexpr std::size_t kRecentSizes = 1000;
constexpr std::size_t kMinRecentSizes = 10;

/// Share of the jobs of a kind that counts as its largest tenth. The size above which they lie is
/// an estimate, and jobs of the tenth that are below it are turned away first.
constexpr double kLargeShare = 0.11;

/// Position in OverloadClass::groups.
constexpr std::size_t kLargestTenth = 1;

/// Limit on the number of groups, because some names come from callers. Further names have none.
constexpr std::size_t kMaxGroups = 4096;

double ValueOf(const OverloadJob& job) { return 1.0 / (1 + std::max(0, job.urgency)); }

double ValuePerSecond(const OverloadJob& job) {
  return ValueOf(job) * 1e6 /
         std::max<double>(1, static_cast<double>(job.job_class.ranked_work.count()));
}

/// Orders jobs of the same value per unit of work. Among the largest tenth, which have one ranked
/// work, the larger ones can wait longer and are thus part of more decisions; without this order
/// they were served less often than the others of the tenth.
Time TieBreak(const OverloadJob& job) {
  return job.job_class.groups[kLargestTenth] == 0 ? Time{} : job.latest_on_time;
}

double MicrosecondsOf(Time::duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

}  // namespace

const char* TurnAwayReasonText(TurnAwayReason reason) {
  switch (reason) {
    case TurnAwayReason::kTooLate:
      return "too_late";
    case TurnAwayReason::kOutOfReach:
      return "out_of_reach";
    case TurnAwayReason::kDisplaced:
      break;
  }
  return "displaced";
}

double OverloadPolicy::Count::ServedShareWithoutOne(double expected) const {
  const double all = this->decided + this->kept;
  return all <= 0 ? 1 : (this->served + (this->kept - 1) * expected) / all;
}

void OverloadPolicy::Sizes::Record(Microseconds work) {
  if (this->recent.size() < kRecentSizes) {
    this->recent.push_back(work);
  } else {
    this->recent[this->next] = work;
    this->next = (this->next + 1) % kRecentSizes;
  }
  if (this->recent.size() >= kMinRecentSizes && this->next % kMinRecentSizes == 0) {
    std::vector<Microseconds> sorted = this->recent;
    const auto limit =
        static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size()) * (1 - kLargeShare));
    std::nth_element(sorted.begin(), sorted.begin() + limit, sorted.end());
    this->largest_tenth_above = sorted[static_cast<std::size_t>(limit)];
  }
}

std::uint32_t OverloadPolicy::GroupNumber(char type, std::string_view name) {
  const std::string key = type + std::string(name);
  const auto found = this->group_numbers.find(key);
  if (found != this->group_numbers.end()) {
    return found->second;
  }
  if (this->counts.size() >= kMaxGroups) {
    return 0;
  }
  const auto number = static_cast<std::uint32_t>(this->counts.size());
  this->counts.emplace_back();
  this->group_numbers.emplace(key, number);
  return number;
}

void OverloadPolicy::RecordSize(std::string_view kind, Microseconds work) {
  auto found = this->sizes.find(kind);
  if (found == this->sizes.end()) {
    found = this->sizes.emplace(std::string(kind), Sizes{}).first;
  }
  found->second.Record(work);
}

OverloadClass OverloadPolicy::Classify(std::string_view kind, std::string_view team,
                                       std::string_view data_centre, Microseconds work) {
  const auto found = this->sizes.find(kind);
  const Microseconds limit =
      found == this->sizes.end() ? Microseconds::max() : found->second.largest_tenth_above;
  return {{this->GroupNumber('k', kind), work > limit ? this->GroupNumber('l', kind) : 0,
           this->GroupNumber('t', team), this->GroupNumber('d', data_centre)},
          std::min(work, limit)};
}

void OverloadPolicy::Decay(Time now) {
  if (now - this->decayed_at < kDecayInterval) {
    return;
  }
  const double factor =
      std::exp(-std::chrono::duration<double>(now - this->decayed_at) / kCountedTime);
  this->decayed_at = now;
  for (Count& count : this->counts) {
    count.served *= factor;
    count.decided *= factor;
  }
}

template <typename Change>
void OverloadPolicy::UpdateCounts(const OverloadClass& job_class, Change change) {
  change(this->counts.front());
  for (const std::uint32_t group : job_class.groups) {
    if (group != 0) {
      change(this->counts[group]);
    }
  }
}

void OverloadPolicy::RecordServed(const OverloadClass& job_class, Time now) {
  this->Decay(now);
  this->UpdateCounts(job_class, [](Count& count) {
    ++count.served;
    ++count.decided;
  });
}

double OverloadPolicy::RemainingShare(const OverloadJob& job) const {
  const Count& all = this->counts.front();
  const double whole = all.decided > 0 ? all.served / all.decided : 1;
  if (whole <= 0) {
    return 1;
  }
  double lowest = std::numeric_limits<double>::max();
  for (const std::uint32_t group : job.job_class.groups) {
    if (group != 0) {
      lowest = std::min(lowest, this->counts[group].ServedShareWithoutOne(whole) / whole);
    }
  }
  return lowest;
}

void OverloadPolicy::TurnAway(const OverloadJob& job, TurnAwayReason reason, Time now,
                              OverloadDecision& decision) {
  decision.turned_away.push_back(
      {job.id, reason, ValuePerSecond(job),
       std::chrono::duration_cast<Microseconds>(job.latest_on_time - now)});
  this->UpdateCounts(job.job_class, [](Count& count) {
    --count.kept;
    ++count.decided;
  });
}

std::vector<const OverloadJob*> OverloadPolicy::TurnAwayLate(std::span<const OverloadJob> jobs,
                                                             Time now, OverloadDecision& decision) {
  std::vector<const OverloadJob*> on_time;
  std::vector<const OverloadJob*> late;
  for (const OverloadJob& job : jobs) {
    if (job.latest_on_time >= now) {
      on_time.push_back(&job);
    } else if (!job.started) {
      late.push_back(&job);
    }
  }
  const bool spare_capacity = on_time.empty() && now - this->last_surplus >= kSurplusMemory;
  for (const OverloadJob* job : late) {
    if (!spare_capacity || job->latest_useful < now) {
      this->TurnAway(*job, TurnAwayReason::kTooLate, now, decision);
    }
  }
  std::ranges::sort(on_time, {},
                    [](const OverloadJob* job) { return std::pair(job->latest_on_time, job->id); });
  return on_time;
}

struct OverloadPolicy::Candidates {
  struct Rank {
    double value = 0;
    const OverloadJob* job = nullptr;

    /// The lowest rank is at the top of a priority queue.
    bool operator<(const Rank& other) const {
      return std::tuple(this->value, TieBreak(*this->job), this->job->id) >
             std::tuple(other.value, TieBreak(*other.job), other.job->id);
    }
  };
  /// By value per unit of work.
  std::priority_queue<Rank> open;
  /// Jobs of groups that are served too little, those with the largest remaining share first.
  std::priority_queue<Rank> guarded;
};

const OverloadJob* OverloadPolicy::TakeVictim(Candidates& candidates, double value_limit) const {
  while (!candidates.open.empty()) {
    const OverloadJob* job = candidates.open.top().job;
    const double share = this->RemainingShare(*job);
    if (share >= kServedFloor) {
      break;
    }
    candidates.guarded.push({-share, job});
    candidates.open.pop();
  }
  auto& source = candidates.open.empty() ? candidates.guarded : candidates.open;
  if (source.empty()) {
    return nullptr;
  }
  const OverloadJob* victim = source.top().job;
  if (ValueOf(*victim) > value_limit || this->RemainingShare(*victim) < kOverbookingFloor) {
    return nullptr;
  }
  source.pop();
  return victim;
}

void OverloadPolicy::TurnAwaySurplus(std::span<const OverloadJob* const> in_order, Time now,
                                     OverloadDecision& decision) {
  Candidates candidates;
  double tasks = 0;
  for (const OverloadJob* job : in_order) {
    tasks += job->tasks;
  }
  const double mean_task = static_cast<double>(decision.work.count()) / std::max(1.0, tasks);
  const double free_work = decision.capacity.free_runs * mean_task;
  double work_ahead = -free_work;
  for (const OverloadJob* job : in_order) {
    const auto work = static_cast<double>(job->work.count());
    // The last task has to start in time, not to end.
    const double last_task = work / job->tasks;
    const double startable = MicrosecondsOf(job->latest_on_time - now) * decision.capacity.slots;
    const bool reachable = work - last_task - free_work <= startable;
    if (!reachable && !job->started && this->RemainingShare(*job) >= kServedFloor) {
      this->TurnAway(*job, TurnAwayReason::kOutOfReach, now, decision);
      continue;
    }
    work_ahead += work;
    if (!job->started) {
      candidates.open.push({ValuePerSecond(*job), job});
    }
    // Turning away others does not help a job that is out of reach. A job that has started stays,
    // but its time is not bought with jobs of more value.
    const double value_limit =
        job->started ? ValueOf(*job) : std::numeric_limits<double>::infinity();
    while (reachable && work_ahead - last_task > startable) {
      const OverloadJob* victim = this->TakeVictim(candidates, value_limit);
      if (victim == nullptr) {
        break;
      }
      this->TurnAway(*victim, TurnAwayReason::kDisplaced, now, decision);
      work_ahead -= static_cast<double>(victim->work.count());
      if (victim == job) {
        break;
      }
    }
  }
}

OverloadDecision OverloadPolicy::Decide(std::span<const OverloadJob> jobs,
                                        const OverloadCapacity& capacity, Time now) {
  this->Decay(now);
  OverloadDecision decision;
  decision.jobs = jobs.size();
  decision.capacity = capacity;
  for (Count& count : this->counts) {
    count.kept = 0;
  }
  for (const OverloadJob& job : jobs) {
    decision.work += job.work;
    if (!job.started) {
      this->UpdateCounts(job.job_class, [](Count& count) { ++count.kept; });
    }
  }
  const auto in_order = this->TurnAwayLate(jobs, now, decision);
  if (capacity.slots > 0) {
    const std::size_t late = decision.turned_away.size();
    this->TurnAwaySurplus(in_order, now, decision);
    if (decision.turned_away.size() > late) {
      this->last_surplus = now;
    }
  }
  return decision;
}

}  // namespace quetzalvale
