/// Choice of the agent that gets a task.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

/// An agent that may take a task now, as the entry sees it.
struct Candidate {
  Incarnation agent;
  std::string_view name;
  int slots = 0;
  /// Tasks of this entry that are sent to the agent and not settled.
  int own_outstanding = 0;
  /// The agent's last report, less what this entry has sent since.
  int free_slots = 0;
  int queued = 0;
  /// Free part of the room for such tasks, 0 to 1.
  double room_share = 0;
  /// Neither room nor a place in the agent's queue is free: the task can only wait for it.
  bool full = false;
  /// Speed relative to the fleet's mean; 2 means half the run time.
  double speed = 1;
  /// Expected time until a task sent now would start there.
  Microseconds expected_wait{0};
  bool same_data_centre = true;
  /// A message with a start is about to go there, which the task can join.
  bool joins_message = false;
};

/// The task to be placed.
struct PlacementQuery {
  /// Expected run time at speed 1.
  Microseconds expected{0};
  Microseconds time_left{0};
  /// Time within which the task has to end for an answer on time; kinds without a target have none.
  std::optional<Microseconds> on_time_left{};
  /// Tasks at least as urgent that this entry already left waiting in the same round. They take
  /// the next slots of busy endpoints first.
  std::uint32_t waiting_ahead = 0;
  /// Other tasks need the fast endpoints to meet their deadlines, so some room there is kept free.
  bool keeps_fast_room = false;
};

/// Returns the position of the chosen candidate, or nothing to leave the task waiting at the entry.
using PlacementHook = std::function<std::optional<std::size_t>(std::span<const Candidate>,
                                                               const PlacementQuery&, Random&)>;

/// Whether the task might miss its deadline on the slowest of the endpoints, and some are much
/// faster.
bool NeedsFastEndpoint(std::span<const Candidate> candidates, const PlacementQuery& query);

/// Returns the hook of the configured policy. kDefault picks the earliest expected finish and may
/// leave a task waiting when a faster busy endpoint is expected to finish it sooner.
PlacementHook MakePlacement(PlacementPolicy policy);

}  // namespace quetzalvale
