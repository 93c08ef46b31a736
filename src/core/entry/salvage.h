/// Recovery of the answer to a ticket whose owner is gone.
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

/// Seals one ticket at the agents that may have run its tasks, and derives the answer from the
/// outcomes that they recorded. Starts no tasks. Not thread-safe.
class Salvage {
 public:
  struct Target {
    Incarnation agent;
    std::string address;
    /// This entry has declared the agent lost, so one failed call is enough to give up on it.
    bool presumed_lost = false;
  };
  struct Limits {
    /// Time after which the outcomes at agents that have not answered count as unknown.
    Time reply_deadline{};
    /// Time after which the outcomes of tasks that still run count as unknown.
    Time deadline{};
  };

  /// `complete` means that `targets` contains every agent that the owner can have used for the
  /// ticket; otherwise nothing can prove that the job did not run.
  Salvage(Ticket ticket, std::size_t task_count, std::vector<Target> targets, bool complete,
          Limits limits);

  /// Returns the agents to send a seal to now, and marks these calls as in flight.
  std::vector<Target> TakeDue(Time now);

  /// Handles the reply to a seal, or the failure of the call.
  void OnReply(const Incarnation& agent, const Result<SealReply>& reply, Time now);

  /// Handles the loss of the incarnation; it will not answer any more.
  void OnAgentLost(const Incarnation& agent);

  /// Returns the final answer, or nothing while it is not determined yet.
  std::optional<Answer> Conclude(Time now) const;

 private:
  enum class State { kPending, kRunning, kSealed, kLost };
  struct SealProgress {
    Target target;
    State state = State::kPending;
    bool in_flight = false;
    Time next{};
    Milliseconds backoff{0};
  };

  void ApplyReply(const SealReply& reply, SealProgress& progress, Time now);
  std::optional<Answer> ConcludeFromOutcomes() const;
  Answer OutcomeUnknown() const;

  Ticket ticket;
  std::size_t task_count;
  bool complete;
  Limits limits;
  bool maybe_started = false;
  std::map<Incarnation, SealProgress> agents;
  std::map<std::uint32_t, Outcome> outcomes;
};

}  // namespace quetzalvale
