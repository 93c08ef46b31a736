/// Tasks to be withdrawn from one agent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/entry/job_table.h"
#include "core/types.h"

namespace quetzalvale {

/// Schedules withdrawals, repeated until the result of each task is known: one message at a time,
/// with a backoff while the agent does not answer. Not thread-safe.
class WithdrawQueue {
 public:
  struct Batch {
    std::vector<TaskRef> tasks;
    bool stop_running = false;
  };

  /// Requests the withdrawal of a task. A task that is already in the queue becomes due at once.
  /// With `stop_running` the task is also stopped if it runs.
  void Add(const TaskRef& task, bool stop_running, Time now);

  /// Removes a task whose result is known.
  void Remove(const TaskRef& task);

  /// Returns the tasks to withdraw now, if any, and marks the message as in flight.
  std::optional<Batch> TakeBatch(Time now);

  /// Handles an answer of the agent to the withdrawal of `tasks`. Those that are still in the queue
  /// are running; their withdrawal is repeated later in case their outcome is lost.
  void OnAnswered(const std::vector<TaskRef>& tasks, Time now);

  /// Returns the tasks whose stop the agent has not answered.
  std::vector<TaskRef> UnansweredStops() const;

  /// Handles a withdrawal that the agent did not answer.
  void OnFailed(Time now);

  std::size_t Size() const { return this->items.size(); }

 private:
  struct Item {
    bool stop_running = false;
    /// Whether the agent has answered that the task runs and is being stopped.
    bool stop_answered = false;
    Time due{};
  };

  std::map<TaskRef, Item> items;
  bool in_flight = false;
  bool in_flight_stop_running = false;
  Time next_attempt{};
  Time in_flight_until{};
  Milliseconds backoff{0};
};

}  // namespace quetzalvale
