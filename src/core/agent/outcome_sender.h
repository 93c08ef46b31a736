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

/// Batches outcomes by owner and resends them with exponential backoff until they are acknowledged
/// or the owner is gone. At most one batch per owner is in flight. Stores only task keys; the
/// outcomes are in the TaskStore. Not thread-safe.
class OutcomeSender {
 public:
  struct Batch {
    Incarnation owner;
    std::string address;
    std::vector<TaskKey> tasks;
    /// Number of tasks in this batch that are sent for the first time.
    std::size_t first_sent = 0;
  };
  struct GivenUp {
    Incarnation owner;
    std::vector<TaskKey> tasks;
  };

  /// Sets the batching delay and the largest number of tasks in a batch.
  void SetBatching(Milliseconds new_delay, std::size_t new_batch_tasks);

  /// Records that the owner sent a message. An empty address keeps the known one. After failures,
  /// its pending outcomes become due at once.
  void HeardFrom(const Incarnation& owner, const std::string& address, Time now);

  /// Queues the task's outcome, to be sent after `max_wait` or the batching delay, whichever is
  /// longer, or earlier in a batch that other outcomes make due. Returns false if the owner is gone
  /// or was never heard from.
  bool Add(const TaskKey& task, Time now, Milliseconds max_wait = Milliseconds(0));

  /// Returns the batches that are due and counts them as in flight.
  std::vector<Batch> TakeDue(Time now);

  /// Records that the owner acknowledged the batch of these tasks. Returns the tasks whose current
  /// outcome the owner has: not those that were started again and finished since, because their new
  /// outcome has not been sent yet.
  std::vector<TaskKey> Acknowledged(const Incarnation& owner, const std::vector<TaskKey>& tasks,
                                    Time now);

  /// Records that a batch was not acknowledged, and schedules a retry.
  void Failed(const Incarnation& owner, Time now);

  /// Stops sending to the owner until it is heard from again. Returns the tasks whose outcomes it
  /// did not acknowledge.
  std::vector<TaskKey> GiveUp(const Incarnation& owner);

  /// Gives up owners that have not replied for a long time, and returns their tasks.
  std::vector<GivenUp> GiveUpUnreachable(Time now);

  /// Removes an owner. Precondition: it has no pending outcomes.
  void Forget(const Incarnation& owner) { this->owners.erase(owner); }

  /// Whether the owner has outcomes that it did not acknowledge.
  bool HasPending(const Incarnation& owner) const;

  /// Address of the owner; empty if unknown.
  std::string AddressOf(const Incarnation& owner) const;

  /// Whether an owner at this address satisfies the predicate.
  bool AnyOwnerAt(const std::string& address,
                  const std::function<bool(const Incarnation&)>& predicate) const;

  /// Whether an unacknowledged outcome satisfies the predicate.
  bool AnyPending(const std::function<bool(const TaskKey&)>& predicate) const;

  /// Number of unacknowledged outcomes of all owners.
  std::size_t Pending() const;

 private:
  struct Owner {
    std::string address;
    std::deque<TaskKey> pending;
    /// Pending tasks whose current outcome has been sent at least once.
    std::set<TaskKey> sent;
    std::optional<Time> in_flight_since;
    Time due{};
    Milliseconds backoff{0};
    /// Time of the first of the current run of consecutive failures.
    std::optional<Time> failing_since;
    bool gone = false;
  };

  Batch MakeBatch(const Incarnation& incarnation, Owner& owner);

  Milliseconds delay{0};
  std::size_t batch_tasks = 64;
  std::map<Incarnation, Owner> owners;
};

}  // namespace quetzalvale
