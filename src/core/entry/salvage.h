/// Settlement of a ticket whose owner is gone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace quetzalvale {

/// Seals one ticket at the agents that may have run its tasks and derives the answer from what they
/// recorded. Starts nothing. Not thread-safe.
class Salvage {
 public:
  struct Target {
    Incarnation agent;
    std::string address;
    /// This entry has declared the agent lost, so one call without an answer settles it.
    bool presumed_lost = false;
  };
  struct Limits {
    /// Agents that have not answered by then count as unknown.
    Time missing_after{};
    /// Tasks that still run by then count as unknown.
    Time deadline{};
  };

  /// `complete` tells that the targets are all agents that the owner can have used for the ticket;
  /// without it nothing proves that the job did not run.
  Salvage(Ticket ticket, std::size_t task_count, std::vector<Target> targets, bool complete,
          Limits limits);

  /// Returns the agents to send a seal to now, and notes that they are asked.
  std::vector<Target> TakeDue(Time now);

  void OnReply(const Incarnation& agent, const Result<SealReply>& reply, Time now);

  /// The incarnation is lost; it answers no more.
  void OnAgentLost(const Incarnation& agent);

  /// Returns the final answer once there is one.
  std::optional<Answer> Conclude(Time now) const;

 private:
  enum class State { kPending, kRunning, kSealed, kLost };
  struct Asked {
    Target target;
    State state = State::kPending;
    bool in_flight = false;
    Time next{};
    Milliseconds backoff{0};
  };

  void Read(const SealReply& reply, Asked& asked, Time now);
  std::optional<Answer> ConcludeFromOutcomes() const;
  Answer Unknown() const;

  Ticket ticket;
  std::size_t task_count;
  bool complete;
  Limits limits;
  bool maybe_started = false;
  std::map<Incarnation, Asked> agents;
  std::map<std::uint32_t, Outcome> outcomes;
};

}  // namespace quetzalvale
