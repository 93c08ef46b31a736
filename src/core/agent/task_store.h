/// Records of the tasks that an agent accepted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/messages.h"
#include "core/policy/worker_resources.h"

namespace quetzalvale {

enum class TaskState { kQueued, kRunning, kFinished };

struct TaskRecord {
  TaskState state = TaskState::kQueued;
  /// Channel sequence of the start that was accepted.
  std::uint64_t channel_sequence = 0;
  std::string kind;
  /// One slot and what the task declares.
  Resources declared;
  /// How many later tasks were handed over that took what this queued task needs.
  int times_bypassed = 0;
  /// Usage above the declaration was logged.
  bool usage_logged = false;
  /// Dropped when the task is handed to the endpoint.
  std::string payload;
  Milliseconds lease{0};
  /// End of the time left; the task is not handed over from then on.
  Time deadline{};
  /// See StartItem.
  bool repeatable = false;
  std::uint32_t attempt = 1;
  /// The task was given to the endpoint, so it may have run.
  bool dispatched = false;
  /// The endpoint proved that it did not start the task.
  bool refused = false;
  /// Set when the state is kFinished.
  Outcome outcome;
  /// The owner acknowledged the outcome or is gone; the record stays only for salvage.
  bool released = false;

  /// Whether it is proven that the task did not run here.
  bool DidNotRun() const {
    return this->state == TaskState::kFinished && (!this->dispatched || this->refused);
  }
};

/// Keeps an outcome until it is released, then for a retention time. A full store drops released
/// records early and takes no new ones when nothing can be dropped. Not thread-safe.
class TaskStore {
 public:
  struct Limits {
    /// At 30 starts per second, the two-year target's share of one agent, the records of ten
    /// minutes fit.
    std::size_t records = 20000;
    /// Payloads and results. Leaves room for the rest of the 64 MB that a daemon may use.
    std::size_t bytes = 24U << 20U;
    /// As long as unused tickets are valid by default, so that a late resubmission is salvaged.
    Milliseconds retention{600000};
  };

  TaskStore() : TaskStore(Limits()) {}
  explicit TaskStore(Limits limits) : limits(limits) {}

  /// Makes room for one more record with this payload by discarding released records. Returns
  /// false when the store is full of records that have to stay.
  bool MakeRoom(std::size_t payload_bytes);

  /// Adds a queued record. Preconditions: the task has no record; MakeRoom returned true.
  void Add(const TaskKey& task, TaskRecord record);

  const TaskRecord* Find(const TaskKey& task) const;

  /// Tasks of the ticket that have a record, in order of index.
  std::vector<TaskKey> TasksOf(const Ticket& ticket) const;

  /// In the order in which they were added.
  std::vector<TaskKey> QueuedTasks() const;

  /// Counts one more later task that delays this one. Precondition: it is queued.
  void RecordBypass(const TaskKey& task) { ++this->records.at(task).times_bypassed; }

  /// Precondition: the task has a record.
  void MarkUsageLogged(const TaskKey& task) { this->records.at(task).usage_logged = true; }

  /// Whether the owner has tasks that are queued or running.
  bool HasUnfinished(const Incarnation& owner) const;

  /// Takes the queued task out of the queue and returns its payload. Precondition: it is queued.
  std::string Dispatch(const TaskKey& task);

  /// Records the outcome of a queued or running task. `refused` tells that the endpoint proved
  /// that the task did not run.
  void Finish(const TaskKey& task, Outcome outcome, bool refused = false);

  /// Removes a queued task. Precondition: it is queued.
  void RemoveQueued(const TaskKey& task);

  /// Removes the record of a released task that did not run. Precondition: it is one.
  void RemoveNotRun(const TaskKey& task);

  /// Starts the retention time of a finished task. No effect on other tasks.
  void Release(const TaskKey& task, Time now);

  /// Discards records whose retention time is over.
  void DiscardExpired(Time now);

  std::size_t Queued() const { return this->queue.size(); }
  std::size_t Running() const { return this->running; }
  std::size_t Size() const { return this->records.size(); }
  std::size_t Bytes() const { return this->bytes; }

 private:
  using ReleasedQueue = std::deque<std::pair<Time, TaskKey>>;

  void DiscardOldest(ReleasedQueue* released_queue);

  Limits limits;
  std::map<TaskKey, TaskRecord> records;
  std::deque<TaskKey> queue;
  std::size_t running = 0;
  std::size_t bytes = 0;
  /// Released records in the order of their release.
  ReleasedQueue released_ran;
  ReleasedQueue released_not_run;
  /// Queued and running tasks by owner.
  std::map<Incarnation, std::size_t> unfinished_by_owner;
};

}  // namespace quetzalvale
