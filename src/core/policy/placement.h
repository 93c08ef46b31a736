/// Choosing the agent that runs a task.
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

/// An agent that can accept a task now, as seen by the entry.
struct Candidate {
  Incarnation agent;
  std::string_view name;
  int slots = 0;
  /// Tasks that this entry has sent to the agent and that are not settled.
  int own_outstanding = 0;
  /// From the agent's last report, minus what this entry has sent since.
  int free_slots = 0;
  int queued = 0;
  /// Share of the agent's capacity for tasks like this one that is free, 0 to 1.
  double free_share = 0;
  /// The agent has neither free capacity nor a free place in its queue, so the task can only wait
  /// at the entry.
  bool full = false;
  /// Speed relative to the mean of the fleet; 2 means half the run time.
  double speed = 1;
  /// Multiple of the run time because the task's data is on another rack.
  double run_factor = 1;
  /// Expected time until a task sent now would start on this agent.
  Microseconds expected_wait{0};
  bool same_data_centre = true;
  /// A message with a start for this agent is pending, and the task can be added to it.
  bool has_pending_message = false;
};

/// The task to be placed.
struct PlacementQuery {
  /// Expected run time at speed 1.
  Microseconds expected{0};
  Microseconds time_left{0};
  /// Time within which the task has to finish for an answer on time; unset for kinds without a
  /// target.
  std::optional<Microseconds> on_time_left{};
  /// Tasks of at least this urgency that the entry has already left waiting in the same round. They
  /// get the next free slots of busy endpoints first.
  std::uint32_t waiting_ahead = 0;
  /// Other tasks need the fast endpoints to meet their deadlines, so part of the capacity of those
  /// endpoints is reserved.
  bool reserve_fast_endpoints = false;
  /// Some endpoint near the task's data is in service, so that waiting for it is of use.
  bool may_wait_near_data = false;
};

/// Returns the index of the chosen candidate, or nothing to leave the task waiting at the entry.
using PlacementHook = std::function<std::optional<std::size_t>(std::span<const Candidate>,
                                                               const PlacementQuery&, Random&)>;

/// Whether the task could miss its deadline on the slowest endpoint while some endpoints are much
/// faster.
bool NeedsFastEndpoint(std::span<const Candidate> candidates, const PlacementQuery& query);

/// Returns the hook for the configured policy. kDefault picks the earliest expected finish and may
/// leave a task waiting if a faster, busy endpoint is expected to finish it sooner.
PlacementHook MakePlacement(PlacementPolicy policy);

}  // namespace quetzalvale
