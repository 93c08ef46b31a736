/// Jobs that an entry has taken.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/entry/entry_events.h"
#include "core/messages.h"
#include "core/policy/answer_target.h"
#include "core/types.h"

namespace quetzalvale {

/// Names a task inside one entry.
struct TaskRef {
  std::uint64_t job = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskRef&) const = default;
  bool operator<(const TaskRef& other) const {
    return std::tie(this->job, this->index) < std::tie(other.job, other.index);
  }
};

enum class JobTaskState {
  /// Waits at the entry; no agent has it.
  kWaiting,
  /// Assigned to an agent; the start is not sent yet.
  kBatched,
  /// A start with the task was sent and is not settled.
  kSent,
  kDone,
  kFailed,
  /// Proven not run, and not to be placed again.
  kNotRun,
  /// Its agent was lost.
  kUnknown
};

struct Task {
  TaskSpec spec;
  JobTaskState state = JobTaskState::kWaiting;
  /// Set while kBatched or kSent, and kept when the task has ended.
  Incarnation agent;
  std::uint64_t channel_sequence = 0;
  /// Was placed at the end of the agent's queue, because not all that it declares was free.
  bool joins_queue = false;
  /// The agent has reported that the task runs.
  bool runs = false;
  /// An earlier run of the task has ended, so the job cannot be said not to have run.
  bool ran_before = false;
  /// Placements that were proven not run.
  std::uint32_t refusals = 0;
  /// Starts sent, and runs that ended by a failure of the task or its endpoint.
  std::uint32_t starts = 0;
  std::uint32_t failures = 0;
  /// Agents on which a run failed or was lost; avoided while there is another one.
  std::vector<Incarnation> failed_on;
  Microseconds expected{0};
  /// Of the last start: when it was sent, when its outcome arrived, and how long the run took.
  Time sent_at{};
  Time ended_at{};
  Microseconds run_time{0};
  std::string result;
};

/// Somebody who gets a job's answer.
struct Waiter {
  enum class Kind {
    /// Answered by AnswerCaller.
    kCaller,
    /// Answered by SendAnswer.
    kPeer,
    /// Answered by AnswerQuery.
    kQuery
  };
  Kind kind = Kind::kCaller;
  RequestId request = 0;
  /// Of kPeer.
  EntryInfo peer;
};

struct Job {
  std::uint64_t id = 0;
  Ticket ticket;
  /// Name of a repeatable job; see Submission.
  std::string name;
  std::uint64_t body_hash = 0;
  std::string kind;
  std::string team;
  int urgency = 0;
  Time submitted{};
  Time deadline{};
  /// Of repeatable jobs only; others are worth their answer until the deadline.
  std::optional<AnswerTarget> target;
  std::vector<Task> tasks;
  std::vector<Waiter> waiters;
  /// Tasks that have not ended, and those that ended well.
  std::size_t open = 0;
  std::size_t done = 0;
  /// Agents that sealed the ticket.
  std::vector<Incarnation> excluded;

  struct Failure {
    std::string reason;
    std::string message;
    /// How long to wait for the proof that nothing ran.
    Time until{};
  };
  std::optional<Failure> failure;

  /// Whether tasks may run again.
  bool IsRepeatable() const { return !this->name.empty(); }

  /// The answer was given; the job stays until its last task has ended.
  bool answered = false;
  std::size_t payload_bytes = 0;
};

/// Owns the jobs of one entry and finds them by id, ticket and time. Not thread-safe.
class JobTable {
 public:
  /// Adds the job and assigns its id. References stay valid until Remove.
  Job& Add(Job job);

  Job* Find(std::uint64_t id);
  const Job* Find(std::uint64_t id) const;
  Job* Find(const Ticket& ticket);
  /// Returns the repeatable job of the service with the name, or nullptr.
  Job* FindNamed(const std::string& service, const std::string& name);
  /// Returns the repeatable job for whose answer the caller's request waits, or nullptr.
  Job* FindAwaited(RequestId request);

  /// Ids of jobs that need attention: the deadline has passed, or the wait for proof is over.
  std::vector<std::uint64_t> Due(Time now) const;

  /// Changes the time at which the job is due.
  void SetDue(Job& job, Time due);

  /// Marks the job as answered: it is no longer due, and its payloads are dropped.
  void MarkAnswered(Job& job);

  void Remove(std::uint64_t id);

  /// Jobs that are not answered.
  std::size_t Unanswered() const { return this->due.size(); }
  std::size_t Unanswered(const std::string& service) const;
  std::size_t Size() const { return this->jobs.size(); }
  std::size_t PayloadBytes() const { return this->payload_bytes; }

  /// Ids of all jobs of the service that are not answered.
  std::vector<std::uint64_t> Ids(const std::string& service) const;

 private:
  std::uint64_t next_id = 1;
  std::unordered_map<std::uint64_t, Job> jobs;
  std::unordered_map<Ticket, std::uint64_t> by_ticket;
  /// Of repeatable jobs, by service and name.
  std::map<std::pair<std::string, std::string>, std::uint64_t> by_name;
  /// One element per job that is not answered.
  std::set<std::pair<Time, std::uint64_t>> due;
  std::unordered_map<std::uint64_t, Time> due_of;
  std::map<std::string, std::size_t> unanswered_by_service;
  std::size_t payload_bytes = 0;
};

}  // namespace quetzalvale

template <>
struct std::hash<quetzalvale::TaskRef> {
  std::size_t operator()(const quetzalvale::TaskRef& value) const noexcept;
};
