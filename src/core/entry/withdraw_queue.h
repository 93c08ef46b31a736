/// Starts at one agent that have to be settled by a withdrawal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/entry/job_table.h"
#include "core/types.h"

namespace quetzalvale {

/// Repeats withdrawals until each task is settled: one message at a time, with a backoff while the
/// agent does not answer. Not thread-safe.
class WithdrawQueue {
 public:
  struct Batch {
    std::vector<TaskRef> tasks;
    bool stop_running = false;
  };

  /// Asks for a withdrawal of the task. A task that is in the queue already is asked for at once,
  /// and is also stopped when `stop_running` is set.
  void Add(const TaskRef& task, bool stop_running, Time now);

  /// The task is settled.
  void Remove(const TaskRef& task);

  /// Returns what to ask for now, if anything, and notes that the message is under way.
  std::optional<Batch> Take(Time now);

  /// The agent answered. Tasks that are still in the queue and were asked for run; they are asked
  /// for again later in case their outcome is lost.
  void Answered(const std::vector<TaskRef>& tasks, Time now);

  /// The agent did not answer.
  void Failed(Time now);

  std::size_t Size() const { return this->items.size(); }

 private:
  struct Item {
    bool stop_running = false;
    Time due{};
  };

  std::map<TaskRef, Item> items;
  bool in_flight = false;
  bool in_flight_stop = false;
  Time not_before{};
  Time in_flight_until{};
  Milliseconds backoff{0};
};

}  // namespace quetzalvale
