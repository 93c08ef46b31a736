/// Records of the tasks accepted by the agent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/messages.h"
#include "core/policy/worker_resources.h"

namespace quetzalvale {

enum class TaskState { kQueued, kRunning, kFinished };

struct TaskRecord {
  TaskState state = TaskState::kQueued;
  /// Channel sequence of the accepted start message.
  std::uint64_t channel_sequence = 0;
  std::string kind;
  /// One slot and the resources that the task declares.
  Resources declared;
  /// Number of later tasks that were dispatched first although they took resources this queued task
  /// needs.
  int times_bypassed = 0;
  /// Whether usage above the declared resources has been logged.
  bool usage_logged = false;
  /// Cleared when the task is dispatched to the endpoint.
  std::string payload;
  Milliseconds lease{0};
  /// Deadline of the job; the task is not dispatched from then on.
  Time deadline{};
  /// See StartItem.
  bool repeatable = false;
  std::uint32_t attempt = 1;
  Microseconds expected{0};
  /// See StartItem::start_within; on this process's clock.
  std::optional<Time> start_by{};
  /// The task was sent to the endpoint, so it may have run.
  bool dispatched = false;
  /// The endpoint proved that it did not start the task.
  bool refused = false;
  /// Valid when the state is kFinished.
  Outcome outcome;
  /// The owner acknowledged the outcome or is gone; the record is kept only for salvage.
  bool released = false;

  /// Whether it is proven that the task did not run on this agent.
  bool DidNotRun() const {
    return this->state == TaskState::kFinished && (!this->dispatched || this->refused);
  }

  /// Whether the task has ended without success and may be run again.
  bool FailedRepeatable() const {
    return this->repeatable && this->state == TaskState::kFinished && !this->outcome.ok;
  }
};

/// Keeps each finished record until it is released, and then for the retention time. When full, it
/// discards released records of tasks that ran early; if there are none, it accepts no new records.
/// Not thread-safe.
class TaskStore {
 public:
  struct Limits {
    /// Holds ten minutes of records at 30 starts per second, one agent's share of the load planned
    /// for in two years.
    std::size_t records = 20000;
    /// Limit on the payloads and results together. Leaves room for everything else within the 64 MB
    /// that a daemon may use.
    std::size_t bytes = 24U << 20U;
    /// The default validity of unused tickets, so that a late resubmission can still be salvaged.
    Milliseconds retention{600000};
  };

  TaskStore() : TaskStore(Limits()) {}
  explicit TaskStore(Limits limits) : limits(limits) {}

  /// Makes room for one more record with a payload of this size by discarding released records.
  /// Returns false if the store is full of records that must be kept.
  bool MakeRoom(std::size_t payload_bytes);

  /// Adds a queued record. Preconditions: the task has no record; MakeRoom() returned true.
  void Add(const TaskKey& task, TaskRecord record);

  /// Returns nullptr if the task has no record.
  const TaskRecord* Find(const TaskKey& task) const;

  /// Tasks of the ticket that have a record, ordered by index.
  std::vector<TaskKey> TasksOf(const Ticket& ticket) const;

  /// In the order in which they are to be started: by start_by, and tasks without one behind those
  /// that have it, in the order in which they were added.
  std::vector<TaskKey> QueuedTasks() const;

  /// Counts another later task that was dispatched first and delays this one. Precondition: it is
  /// queued.
  void RecordBypass(const TaskKey& task) { ++this->records.at(task).times_bypassed; }

  /// Precondition: the task has a record.
  void MarkUsageLogged(const TaskKey& task) { this->records.at(task).usage_logged = true; }

  /// Whether the owner has queued or running tasks.
  bool HasUnfinished(const Incarnation& owner) const;

  /// Marks the task as running and returns its payload. Precondition: it is queued.
  std::string Dispatch(const TaskKey& task);

  /// Records the outcome of a queued or running task. `refused` means that the endpoint proved that
  /// the task did not run.
  void Finish(const TaskKey& task, Outcome outcome, bool refused = false);

  /// Removes a queued task. Precondition: it is queued.
  void RemoveQueued(const TaskKey& task);

  /// Removes the record of a task that may start again. Precondition: the record is released.
  void RemoveReleased(const TaskKey& task);

  /// Lets the outcome of an unfinished task count as that of a later start. Precondition: the task
  /// has a record.
  void SetChannelSequence(const TaskKey& task, std::uint64_t sequence) {
    this->records.at(task).channel_sequence = sequence;
  }

  /// Starts the retention time of a finished task. No effect if the task is not finished or already
  /// released.
  void Release(const TaskKey& task, Time now);

  /// Discards records whose retention time has passed.
  void DiscardExpired(Time now);

  std::size_t Queued() const { return this->queue.size(); }
  std::size_t Running() const { return this->running; }
  std::size_t Size() const { return this->records.size(); }
  /// Bytes of all payloads and outcomes.
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
  /// Number of queued and running tasks per owner.
  std::map<Incarnation, std::size_t> unfinished_by_owner;
};

}  // namespace quetzalvale
