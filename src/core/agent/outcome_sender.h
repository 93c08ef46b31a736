/// Delivery of outcomes to the owners of their tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Batches outcomes per owner and repeats them with an increasing pause until they are
/// acknowledged or the owner is gone. At most one batch per owner is under way. Holds task keys
/// only; the outcomes are in the TaskStore. Not thread-safe.
class OutcomeSender {
 public:
  struct Batch {
    Incarnation owner;
    std::string address;
    std::vector<TaskKey> tasks;
    /// How many of the tasks are in a batch for the first time.
    std::size_t first_sent = 0;
  };
  struct GivenUp {
    Incarnation owner;
    std::vector<TaskKey> tasks;
  };

  void SetBatching(Milliseconds new_delay, std::size_t new_batch_tasks);

  /// Notes a sign of life from the owner. An empty address leaves the known one. Outcomes that
  /// were waiting for a repeat are due at once.
  void HeardFrom(const Incarnation& owner, const std::string& address, Time now);

  /// Queues the task's outcome, which may wait for others for `patience`. Returns false when the
  /// owner is gone or was never heard from.
  bool Add(const TaskKey& task, Time now, Milliseconds max_wait = Milliseconds(0));

  /// Returns the batches that are due and counts them as under way.
  std::vector<Batch> TakeDue(Time now);

  /// The owner acknowledged the batch with these tasks. Returns those whose outcome it has: a task
  /// that was started anew and ended since has an outcome that was in no batch yet.
  std::vector<TaskKey> Acknowledged(const Incarnation& owner, const std::vector<TaskKey>& tasks,
                                    Time now);

  /// A batch was not acknowledged.
  void Failed(const Incarnation& owner, Time now);

  /// Stops sending to the owner until it is heard from. Returns the outcomes that it did not
  /// acknowledge.
  std::vector<TaskKey> GiveUp(const Incarnation& owner);

  /// Gives up the owners that have not answered for a long time.
  std::vector<GivenUp> GiveUpUnreachable(Time now);

  /// Forgets an owner. Precondition: it has no pending outcomes.
  void Forget(const Incarnation& owner) { this->owners.erase(owner); }

  bool HasPending(const Incarnation& owner) const;

  /// Address of the owner; empty when it is unknown.
  std::string AddressOf(const Incarnation& owner) const;

  /// Whether an owner at this address satisfies the predicate.
  bool AnyOwnerAt(const std::string& address,
                  const std::function<bool(const Incarnation&)>& predicate) const;

  std::size_t Pending() const;

 private:
  struct Owner {
    std::string address;
    std::deque<TaskKey> pending;
    /// Pending tasks that were in a batch before.
    std::set<TaskKey> sent;
    std::optional<Time> in_flight_since;
    Time due{};
    Milliseconds backoff{0};
    /// When the first of the failures in a row was seen.
    std::optional<Time> failing_since;
    bool gone = false;
  };

  Batch MakeBatch(const Incarnation& incarnation, Owner& owner);

  Milliseconds delay{0};
  std::size_t batch_tasks = 64;
  std::map<Incarnation, Owner> owners;
};

}  // namespace quetzalvale
