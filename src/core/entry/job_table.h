/// Jobs that an entry has accepted, with the state of each task.
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
#include "core/policy/overload_policy.h"
#include "core/types.h"

namespace quetzalvale {

/// Identifies a task within one entry.
struct TaskRef {
  std::uint64_t job = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskRef&) const = default;
  bool operator<(const TaskRef& other) const {
    return std::tie(this->job, this->index) < std::tie(other.job, other.index);
  }
};

enum class JobTaskState {
  /// Queued at the entry; not assigned to an agent.
  kWaiting,
  /// Assigned to an agent; the start message has not been sent yet.
  kBatched,
  /// A start message with the task was sent, and its result is not known yet.
  kSent,
  kDone,
  kFailed,
  /// Proven not to have run, and will not be placed again.
  kNotRun,
  /// The agent was lost, so it is not known whether the task ran.
  kUnknown
};

struct Task {
  TaskSpec spec;
  JobTaskState state = JobTaskState::kWaiting;
  /// Set while the state is kBatched or kSent, and kept after the task has ended.
  Incarnation agent;
  std::uint64_t channel_sequence = 0;
  /// The task was placed at the end of the agent's queue because some of the resources that it
  /// declares were not free.
  bool joins_queue = false;
  /// The agent has reported the task as running.
  bool runs = false;
  /// An earlier run of the task has ended, so the job must not be answered as "not run".
  bool ran_before = false;
  /// Number of placements that were proven not to have run.
  std::uint32_t refusals = 0;
  /// Number of start messages sent, and of runs that ended with a failure of the task or its
  /// endpoint.
  std::uint32_t starts = 0;
  std::uint32_t failures = 0;
  /// Agents on which a run failed or was lost; avoided while another agent is available.
  std::vector<Incarnation> failed_on;
  /// Expected run time near the task's data at speed 1.
  Microseconds expected{0};
  /// Multiple of it on the agent of the last start, because the data is on another rack.
  double run_factor = 1;
  /// The task was moved away from an endpoint that had become slow.
  bool moved = false;
  /// Times of the last start: when it was sent, when its outcome arrived, and how long the run
  /// took.
  Time sent_at{};
  Time ended_at{};
  Microseconds run_time{0};
  std::string result;
};

/// A receiver of a job's answer.
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
  /// Set for kPeer only.
  EntryInfo peer;
};

struct Job {
  std::uint64_t id = 0;
  Ticket ticket;
  /// Name of a repeatable job, empty for other jobs; see Submission.
  std::string name;
  std::uint64_t body_hash = 0;
  std::string kind;
  std::string team;
  int urgency = 0;
  /// A repeatable job fails after this many failed runs of one of its tasks, even if its kind is no
  /// longer configured by then.
  std::uint32_t attempts = 1;
  /// See Submission.
  std::string data_rack{};
  std::string payload_tail{};
  Time submitted{};
  Time deadline{};
  /// Set for repeatable jobs only; the answer of other jobs is useful until the deadline.
  std::optional<AnswerTarget> target;
  /// Set for a job that was accepted to renew estimates, see EstimateRenewal: until when its answer
  /// is on time. Such a job has no target, by which it would be given up at once.
  std::optional<Time> renewal_on_time{};
  /// Set if the job takes part in the selection in an overload; see OverloadPolicy.
  std::optional<OverloadClass> overload_class;
  /// None of its tasks starts before the next decision.
  bool awaits_selection = false;
  bool counted_as_served = false;
  std::vector<Task> tasks;
  std::vector<Waiter> waiters;
  /// Number of tasks that have not ended, and of those that succeeded.
  std::size_t open = 0;
  std::size_t done = 0;
  /// Agents that have sealed the ticket and thus start no more of its tasks.
  std::vector<Incarnation> excluded_agents;

  struct Failure {
    std::string reason;
    std::string message;
    /// End of the wait for proof that nothing ran.
    Time proof_deadline{};
  };
  std::optional<Failure> failure;

  /// Whether tasks may be run more than once.
  bool IsRepeatable() const { return !this->name.empty(); }

  /// The answer was sent; the job stays in the table until its last task has ended.
  bool answered = false;
  std::size_t payload_bytes = 0;
};

/// Owns the jobs of one entry, indexed by id, ticket, name and due time. Not thread-safe.
class JobTable {
 public:
  /// Adds the job, assigns its id and makes it due at its deadline. The returned reference stays
  /// valid until Remove.
  Job& Add(Job job);

  Job* Find(std::uint64_t id);
  const Job* Find(std::uint64_t id) const;
  Job* Find(const Ticket& ticket);
  /// Returns the repeatable job with this name, or nullptr.
  Job* FindNamed(const std::string& name);
  /// Returns the repeatable job whose answer the caller's request waits for, or nullptr.
  Job* FindByRequest(RequestId request);

  /// Returns the ids of unanswered jobs whose due time has come: the deadline has passed, or the
  /// wait for proof that nothing ran is over.
  std::vector<std::uint64_t> Due(Time now) const;

  /// Changes the due time of the job. Does nothing for an answered job.
  void SetDue(Job& job, Time due);

  /// Marks the job as answered: it is no longer due, and its waiters, payloads and results are
  /// dropped.
  void MarkAnswered(Job& job);

  void Remove(std::uint64_t id);

  /// Number of jobs that are not answered.
  std::size_t Unanswered() const { return this->due.size(); }
  std::size_t Unanswered(const std::string& service) const;
  std::size_t Size() const { return this->jobs.size(); }
  std::size_t PayloadBytes() const { return this->payload_bytes; }

  /// Returns the ids of the service's jobs that are not answered, by due time.
  std::vector<std::uint64_t> UnansweredIds(const std::string& service) const;

 private:
  std::uint64_t next_id = 1;
  std::unordered_map<std::uint64_t, Job> jobs;
  std::unordered_map<Ticket, std::uint64_t> by_ticket;
  /// Repeatable jobs by name. Not by service as well: the configuration may have moved a job's
  /// queue to another service since the job was accepted.
  std::map<std::string, std::uint64_t> by_name;
  /// One element for each job that is not answered.
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
