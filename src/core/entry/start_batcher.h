/// Batches the tasks for one agent into one start message.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/entry/job_table.h"
#include "core/types.h"

namespace quetzalvale {

/// Holds placed tasks for a short time, so that one message starts several tasks. With a delay of
/// zero a batch is due at once, and contains the tasks placed while one event is handled. Not
/// thread-safe.
class StartBatcher {
 public:
  struct Batch {
    Incarnation agent;
    std::vector<TaskRef> tasks;
  };

  /// Adds a task to the agent's batch. The batch is due `delay` after its first task, or as soon as
  /// it has `limit` tasks.
  void Add(const Incarnation& agent, const TaskRef& task, Time now, Microseconds delay,
           std::size_t limit);

  /// Removes a task that has not been sent.
  void Remove(const Incarnation& agent, const TaskRef& task);

  /// Removes and returns the batches that are due, split into at most `limit` tasks each, the limit
  /// being the one last given to Add for the agent.
  std::vector<Batch> TakeDue(Time now);

  /// Whether the agent has a batch that was not sent.
  bool HasBatch(const Incarnation& agent) const { return this->pending.contains(agent); }

  bool IsEmpty() const { return this->pending.empty(); }

 private:
  struct Pending {
    Time due{};
    std::size_t limit = 1;
    std::vector<TaskRef> tasks;
  };

  std::map<Incarnation, Pending> pending;
};

}  // namespace quetzalvale
