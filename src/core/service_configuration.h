/// The operators' configuration of one service, decoded from its JSON document.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

enum class Objective { kResponseTime, kMessages };

enum class PlacementPolicy { kDefault, kRandom, kRoundRobin, kLeastOutstanding, kPowerOfTwo };

struct KindConfiguration {
  std::string name;
  /// Lower is more urgent.
  int urgency = 0;
  Milliseconds deadline{10000};
  /// Estimate of the run time that is used until runs have been observed.
  Milliseconds expected{100};
  /// Declared run times are roughly right, so they are used before runs have been observed; see
  /// RunTimeModel::SetPrior.
  bool honest_sizes = false;
  /// A repeatable job fails after this many failed runs of one of its tasks.
  std::uint32_t attempts = 1;
  /// An answer is on time within `target_stretch` times the run time of the longest task plus
  /// `target_slack`, and still of some use within `late_factor` times that. If the stretch is zero,
  /// only the deadline counts.
  double target_stretch = 0;
  Milliseconds target_slack{0};
  double late_factor = 1;
};

struct TeamConfiguration {
  std::string name;
  /// Quota over all entries together; zero means no quota.
  double tasks_per_second = 0;
};

/// The defaults are those of the JSON schema. Immutable once built; replaced as a whole.
struct ServiceConfiguration {
  std::string service;
  /// Version of the platform's row; zero while unknown.
  std::uint64_t version = 0;
  Objective objective = Objective::kResponseTime;
  /// Name patterns of the endpoints bound to the service; `*` matches any number of characters.
  std::vector<std::string> endpoints{"*"};
  std::vector<KindConfiguration> kinds;
  std::vector<TeamConfiguration> teams;

  struct WorkerLimits {
    double cores = 16;
    std::int64_t memory_mb = 32768;
    int accelerators = 0;
  } worker_limits;

  struct Limits {
    std::uint32_t tasks_per_job = 440;
    std::uint64_t body_bytes = 1 << 20;
    std::uint32_t queued_tasks = 20000;
  } limits;

  PlacementPolicy placement = PlacementPolicy::kDefault;

  struct Batching {
    Microseconds start_delay{0};
    Milliseconds outcome_delay{0};
    std::uint32_t batch_tasks = 64;
  } batching;

  struct Tickets {
    std::uint32_t block = 64;
    std::chrono::seconds valid{600};
    std::uint32_t answers_kept = 10000;
    std::chrono::seconds answer_kept{600};
  } tickets;

  struct Health {
    Milliseconds heartbeat{1000};
    /// Heartbeat intervals of an agent: to an entry that uses it but has no tasks there, and to an
    /// entry that does not use it. With 640 agents, of which an entry uses 64, the entry receives
    /// about 5 of these heartbeats a second.
    Milliseconds idle_heartbeat{20000};
    Milliseconds distant_heartbeat{300000};
    Milliseconds agent_lost{3000};
    Milliseconds agent_dead{10000};
    std::uint32_t eject_after = 5;
    Milliseconds probe_after{2000};
  } health;

  Milliseconds lease{3000};
  /// Number of tasks that may wait at an agent beyond its slots.
  std::uint32_t agent_queue = 2;
  /// Limits placements that repeat a task after proof that it did not run, as a share of first
  /// placements.
  double retry_share = 0.2;
  /// Number of agents that an entry uses. A service with no more agents than this is used whole by
  /// every entry.
  std::uint32_t subset_size = 64;
  struct Overload {
    /// Repeatable jobs with a target are selected by OverloadPolicy when not all can be on time.
    bool select = false;
  } overload;

  /// Run time of a task whose data is on another rack, as a multiple of that near its data.
  double remote_data_factor = 1;

  /// Returns the kind with this name, or nullptr.
  const KindConfiguration* FindKind(std::string_view kind) const {
    for (const auto& candidate : this->kinds) {
      if (candidate.name == kind) return &candidate;
    }
    return nullptr;
  }

  /// Returns the team with this name, or nullptr.
  const TeamConfiguration* FindTeam(std::string_view team) const {
    for (const auto& candidate : this->teams) {
      if (candidate.name == team) return &candidate;
    }
    return nullptr;
  }
};

}  // namespace quetzalvale
