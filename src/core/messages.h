/// Messages between callers, entries and agents, independent of their encoding.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/result.h"
#include "core/types.h"

namespace quetzalvale {

/// A caller's description of one task. Run time and resources are declared by the caller and may be
/// wrong.
struct TaskSpec {
  /// JSON text that is passed to the endpoint unchanged.
  std::string payload = "null";
  /// Zero when the caller declared none.
  Milliseconds declared_run_time{0};
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};

/// Result of a task that was started.
struct Outcome {
  TaskKey task;
  bool ok = false;
  /// Why the task failed, such as "endpoint_failed" or "lease_lapsed"; empty when ok.
  std::string reason;
  /// JSON text returned by the endpoint; "null" when the task failed.
  std::string result = "null";
  Microseconds run_time{0};
  /// Channel sequence of the start that this outcome belongs to. Without it, a delayed proof of
  /// "not run", or a failure of an earlier attempt, could be mistaken for that of a later start of
  /// the same task on the same agent. Zero if the agent has no record of the start.
  std::uint64_t channel_sequence = 0;
};

/// Load of an agent, sent with each of its messages.
struct AgentLoad {
  /// The agent's own clock when it sent the report; the basis of StartRequest::accept_until.
  Microseconds clock{0};
  int free_slots = 0;
  /// Resources that are neither declared by running tasks nor reserved for waiting ones. Zero if
  /// the worker states no capacity.
  double free_cores = 0;
  std::int64_t free_memory_mb = 0;
  int free_accelerators = 0;
  int queued = 0;
  std::uint64_t configuration_version = 0;
  bool leaving = false;
  /// Present speed of the worker relative to the expected run times of its tasks, seen from the
  /// runs of all entries; zero while unknown.
  double speed = 0;
  /// Whether the agent refuses starts because its data centre is evacuated, and the version of the
  /// store at which this was so; zero if no entry has told the agent.
  std::uint64_t evacuation_version = 0;
  bool evacuated = false;
};

/// The data centres on whose workers nothing may start, complete at this version of the store.
struct EvacuationSet {
  /// Zero while the store has not been read.
  std::uint64_t version = 0;
  std::vector<std::string> data_centres;
};

// ---- Starts -------------------------------------------------------------------------------

struct StartItem {
  TaskKey task;
  std::string kind;
  TaskSpec spec;
  /// Time left until the job's deadline when the message was sent.
  Milliseconds time_left{0};
  /// The job may be run again from the start. The agent therefore ends the run at the job's
  /// deadline, and when it has not heard from the owner for a while.
  bool repeatable = false;
  /// Number of the attempt to start this task, from 1.
  std::uint32_t attempt = 1;
  /// Run time that the owner expects of the task on an endpoint of speed 1; zero if unknown.
  Microseconds expected{0};
  /// Time from the sending of the message within which the task should start for its answer to be
  /// on time; may be negative. Among waiting tasks, the one with the least is started first. Unset
  /// for tasks without a target, which keep their order.
  std::optional<Milliseconds> start_within{};
};

/// An agent refuses a start that arrives later than this after the entry made it. Longer than the
/// wait in the message queue of a busy receiver, and much shorter than the time after which a
/// caller submits again.
inline constexpr Milliseconds kStartAcceptWindow{250};

/// Asks one agent incarnation to start tasks. The agent accepts each channel sequence at most once.
struct StartRequest {
  Incarnation owner;
  std::string owner_address;
  Incarnation agent;
  std::uint64_t channel_sequence = 0;
  Milliseconds lease{0};
  std::uint64_t configuration_version = 0;
  /// On the agent's clock: from this time on the agent refuses repeatable tasks, because an owner
  /// that was suspended between sending and delivery has given them up. Zero means no limit.
  Microseconds accept_until{0};
  std::vector<StartItem> items;
};

/// Why a task was not started. Each value other than kNone proves that this agent will never start
/// it.
enum class StartRefusal {
  kNone,
  kBusy,
  kLeaving,
  kSealed,
  kExpired,
  kWrongIncarnation,
  kEndpointDown,
  /// The agent's data centre is evacuated.
  kEvacuated
};

struct StartReply {
  Incarnation agent;
  /// The channel sequence was used before. The decisions are empty and the sender must withdraw the
  /// tasks.
  bool repeated = false;
  /// One for each item of the request, in the same order. kNone means accepted.
  std::vector<StartRefusal> decisions;
  std::vector<Outcome> outcomes;
  AgentLoad load;
};

// ---- Withdrawal and salvage ---------------------------------------------------------------

enum class TaskStatus { kRunning, kFinished, kNotRun };

struct TaskReport {
  TaskKey task;
  TaskStatus status = TaskStatus::kNotRun;
  /// Set if and only if status is kFinished.
  std::optional<Outcome> outcome;
};

struct WithdrawItem {
  std::uint64_t channel_sequence = 0;
  TaskKey task;
};

/// Determines the fate of starts whose reply was lost, and takes back queued tasks. The agent
/// refuses starts with these channel sequences from then on.
struct WithdrawRequest {
  Incarnation owner;
  Incarnation agent;
  std::vector<WithdrawItem> items;
  /// Also stop tasks that are already running, for a cancellation.
  bool stop_running = false;
};

struct WithdrawReply {
  /// Incarnation that answered. If it differs from the one in the request, `reports` is empty.
  Incarnation agent;
  std::vector<TaskReport> reports;
  AgentLoad load;
};

/// Asks an agent to refuse all later starts of a ticket and to report what it recorded for the
/// ticket.
struct SealRequest {
  Ticket ticket;
  Incarnation sealer;
};

struct SealReply {
  Incarnation agent;
  /// Set if tasks of the ticket may have started here whose records have been discarded.
  bool maybe_started = false;
  std::vector<TaskReport> reports;
};

// ---- Outcomes -----------------------------------------------------------------------------

struct OutcomesRequest {
  Incarnation agent;
  Incarnation owner;
  std::vector<Outcome> outcomes;
  AgentLoad load;
};

struct OutcomesReply {
  /// Incarnation that answered. The outcomes are acknowledged only if it equals the owner in the
  /// request.
  Incarnation owner;
  std::uint64_t configuration_version = 0;
};

// ---- Membership ---------------------------------------------------------------------------

struct WorkerCapacity {
  int slots = 0;
  int connections = 0;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};

struct Announce {
  Incarnation agent;
  std::string name;
  std::string service;
  std::string data_centre;
  std::string address;
  WorkerCapacity worker;
  AgentLoad load;
  /// Properties of the worker's machine, such as the name of its rack.
  std::vector<std::string> labels{};
  /// Identifies the incarnation of the endpoint, which may outlast an agent; zero if it is not
  /// known.
  std::uint64_t endpoint_incarnation = 0;
};

struct EntryInfo {
  Incarnation incarnation;
  std::string address;
  std::string data_centre;

  auto operator<=>(const EntryInfo&) const = default;
};

/// Sent regularly by an agent to each entry that knows it.
struct Heartbeat {
  Incarnation agent;
  AgentLoad load;
  /// Digest of the entry list that the agent last received from this entry; zero means none.
  std::uint64_t entries_digest = 0;
};

/// Reply to an announcement or a heartbeat. Also sent unrequested (call `notice`) when an agent
/// must learn something before its next heartbeat.
struct AnnounceReply {
  EntryInfo entry;
  /// The live entries; omitted if the agent already has the list with this digest.
  std::vector<EntryInfo> entries;
  std::uint64_t entries_digest = 0;
  std::uint64_t configuration_version = 0;
  /// Set if the entry places tasks on the agent.
  bool member = false;
  /// False if the entry has no record of the incarnation and needs a full announcement. Also false
  /// in the reply to an announcement that was not recorded, as before the first configuration.
  bool known = true;
  /// Tasks to stop, whose withdrawal the agent has not answered yet: the connection that it was
  /// sent on may have gone silent. Only in replies.
  std::vector<WithdrawItem> withdrawn{};
  /// Whether the agent's data centre is evacuated, at this version of the store. The agent goes by
  /// the highest version that it has been told; zero states nothing.
  std::uint64_t evacuation_version = 0;
  bool evacuated = false;
};

/// One agent in an owner's roster, the versioned list of the agents that the owner uses.
struct RosterItem {
  std::string service;
  Incarnation agent;
  std::string address;
  std::uint64_t first_roster = 0;
  /// Tickets with this roster number or a higher one never use the agent; zero while it is in use.
  std::uint64_t end_roster = 0;

  auto operator<=>(const RosterItem&) const = default;
};

/// Names the entry that is responsible for the tickets of one that has left.
struct Succession {
  Incarnation departed;
  EntryInfo successor;

  auto operator<=>(const Succession&) const = default;
};

/// Exchanged between entries. The reply has the same form.
struct Hello {
  EntryInfo entry;
  bool leaving = false;
  /// Live entries and successions; both omitted if the receiver already has those with this digest.
  std::vector<EntryInfo> entries;
  std::vector<Succession> successions;
  std::uint64_t digest = 0;
  /// The sender's current roster number; zero if it has not used any agent yet.
  std::uint64_t roster_number = 0;
  /// `roster` holds the items that changed after this number; zero means that it is complete.
  /// Changes can be applied only by a receiver that holds the roster at this number or a later one.
  std::uint64_t roster_base = 0;
  std::vector<RosterItem> roster;
  /// For tickets with a lower roster number the roster may lack agents that left long ago, so it
  /// cannot prove that such a ticket did not use an agent.
  std::uint64_t complete_from = 0;
  /// The receiver's roster number and `digest` that the sender holds. Zero means none.
  std::uint64_t seen_roster = 0;
  std::uint64_t seen_digest = 0;
  /// Task starts per second requested from the sender, by (service, team). Teams without demand are
  /// omitted.
  std::map<std::pair<std::string, std::string>, double> demand;
  std::map<std::string, std::uint64_t> configuration_versions;
  EvacuationSet evacuations{};
};

// ---- Jobs ---------------------------------------------------------------------------------

/// A job submitted by a caller.
struct Submission {
  std::string service;
  std::optional<Ticket> ticket;
  /// The caller's idempotency key, claimed in the platform's table; empty if the job has a ticket.
  std::string key;
  /// The caller's name of a job that may be run again from the start if its answer was lost,
  /// provided that no two runs are in progress at once. Nothing about such a job is kept. Empty for
  /// other jobs.
  std::string name{};
  std::string team;
  std::string kind;
  /// Time until the caller needs the answer; zero selects the kind's default.
  Milliseconds deadline{0};
  std::vector<TaskSpec> tasks;
  /// Hash of everything except the ticket; distinguishes a resubmission from a conflicting job.
  std::uint64_t body_hash = 0;
  /// Rack that holds the data of the tasks; empty if they run equally well everywhere. Tasks on
  /// endpoints without this label take ServiceConfiguration::remote_data_factor times as long.
  std::string data_rack{};
  /// Follows the payload of each task when it is sent, so that text that all tasks share is held
  /// once. A payload and this together are JSON text.
  std::string payload_tail{};
  /// When the entry read the job from its caller; the deadline counts from then. Without it, the
  /// deadline counts from the time at which the job is processed. Not sent to other entries.
  std::optional<Time> received{};
};

/// Answer::reason of a repeatable job that a caller cancelled by its name.
inline constexpr const char* kCancelledByRequest = "cancelled_by_request";

enum class AnswerStatus { kComplete, kFailed, kRefused };

/// The final answer to a submission; there is exactly one.
struct Answer {
  AnswerStatus status = AnswerStatus::kRefused;
  std::optional<Ticket> ticket;
  /// Set if refused.
  ErrorKind error = ErrorKind::kInternal;
  /// Set if failed: task_failed, outcome_unknown, deadline, cancelled, kCancelledByRequest.
  std::string reason;
  /// What happened and what the caller can do about it.
  std::string message;
  /// True only with proof that no task of the job ran or will run.
  bool not_run = false;
  /// Results in task order; only in complete answers.
  std::vector<std::string> results;
  std::vector<Ticket> fresh_tickets;
};

/// Forwards a submission whose ticket belongs to another entry to that entry or its successor.
struct ForwardRequest {
  EntryInfo from;
  std::uint64_t request_id = 0;
  Submission submission;
};

struct ForwardReply {
  /// Incarnation that answered. It has accepted the submission only if `taken` is set.
  Incarnation entry;
  bool taken = false;
};

/// Answer to a forwarded submission.
struct AnswerRequest {
  Incarnation to;
  std::uint64_t request_id = 0;
  Answer answer;
};

struct CancelRequest {
  Ticket ticket;
};

/// Tells another entry which repeatable jobs callers have cancelled at the sender, by name.
struct CancelledJobs {
  Incarnation from;
  std::vector<std::string> names;
};

/// One part of a leaving entry's ledger of used tickets, with the answers that it still retains.
struct HandOver {
  Incarnation owner;
  std::string service;
  /// Index of this part, from zero, and number of parts. Only the complete set of parts proves that
  /// a ticket was not used.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::uint64_t next_sequence = 0;
  /// All sequences below this one are used or expired.
  std::uint64_t floor = 0;
  /// Used sequences at or above `floor`, distributed over the parts.
  std::vector<std::uint64_t> used;
  struct RetainedAnswer {
    std::uint64_t sequence = 0;
    std::uint64_t body_hash = 0;
    Answer answer;
  };
  std::vector<RetainedAnswer> answers;
};

/// Acknowledges a message that has no other reply.
struct Acknowledgement {
  Incarnation from;
  bool accepted = false;
};

}  // namespace quetzalvale
