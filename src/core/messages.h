/// Messages between callers' jobs, entries and agents, independent of their encoding.
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

/// What a caller says about one task. Sizes are declarations and may be wrong.
struct TaskSpec {
  /// JSON text that the endpoint receives unchanged.
  std::string payload = "null";
  /// Declared run time; zero when the caller gave none.
  Milliseconds declared_run_time{0};
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};

/// How a started task ended.
struct Outcome {
  TaskKey task;
  bool ok = false;
  /// Why the task failed, such as "endpoint_failed" or "lease_lapsed"; empty when ok.
  std::string reason;
  /// JSON text returned by the endpoint; "null" when the task failed.
  std::string result = "null";
  Microseconds run_time{0};
  /// Channel sequence of the start that this outcome belongs to. A delayed proof of "not run" must
  /// not be taken for one of a later start of the task on the same agent.
  std::uint64_t channel_sequence = 0;
};

/// Load that an agent reports with everything it sends.
struct AgentLoad {
  /// The agent's own clock when it sent the report, echoed in StartRequest::accept_until.
  Microseconds clock{0};
  int free_slots = 0;
  /// What no running task declares and no waiting task has reserved. Zero where the worker states
  /// no capacity.
  double free_cores = 0;
  std::int64_t free_memory_mb = 0;
  int free_accelerators = 0;
  int queued = 0;
  std::uint64_t configuration_version = 0;
  bool leaving = false;
};

// ---- Starts -------------------------------------------------------------------------------

struct StartItem {
  TaskKey task;
  std::string kind;
  TaskSpec spec;
  /// Time left until the job's deadline when the message was sent.
  Milliseconds time_left{0};
  /// The job may run again from the start, so the agent ends the run at the job's deadline and when
  /// it has not heard from the owner for a while.
  bool repeatable = false;
  /// Number of the start, from 1.
  std::uint32_t attempt = 1;
};

/// Asks one agent incarnation to start tasks. Accepted at most once per channel sequence.
struct StartRequest {
  Incarnation owner;
  std::string owner_address;
  Incarnation agent;
  std::uint64_t channel_sequence = 0;
  Milliseconds lease{0};
  std::uint64_t configuration_version = 0;
  /// On the agent's clock: repeatable tasks are refused from then on, because an owner that was
  /// frozen between sending and delivery has given them up. Zero means any time.
  Microseconds accept_until{0};
  std::vector<StartItem> items;
};

/// Reason for not starting a task. Each is proof that this agent never will.
enum class StartRefusal {
  kNone,
  kBusy,
  kLeaving,
  kSealed,
  kExpired,
  kWrongIncarnation,
  kEndpointDown
};

struct StartReply {
  Incarnation agent;
  /// The channel sequence was used before; the decisions are empty and the sender must withdraw.
  bool repeated = false;
  /// In the order of the request's items. kNone means accepted.
  std::vector<StartRefusal> decisions;
  std::vector<Outcome> outcomes;
  AgentLoad load;
};

// ---- Withdrawal and salvage ---------------------------------------------------------------

enum class TaskStatus { kRunning, kFinished, kNotRun };

struct TaskReport {
  TaskKey task;
  TaskStatus status = TaskStatus::kNotRun;
  /// Set exactly when status is kFinished.
  std::optional<Outcome> outcome;
};

struct WithdrawItem {
  std::uint64_t channel_sequence = 0;
  TaskKey task;
};

/// Settles starts whose reply was lost and takes back queued tasks. Uses up the channel sequences.
struct WithdrawRequest {
  Incarnation owner;
  Incarnation agent;
  std::vector<WithdrawItem> items;
  /// Also stop tasks that are running already (cancellation).
  bool stop_running = false;
};

struct WithdrawReply {
  /// Incarnation that answered. If it differs from the request's, the reports are empty.
  Incarnation agent;
  std::vector<TaskReport> reports;
  AgentLoad load;
};

/// Asks an agent to refuse all later starts of a ticket and to report what it recorded for it.
struct SealRequest {
  Ticket ticket;
  Incarnation sealer;
};

struct SealReply {
  Incarnation agent;
  /// Tasks of the ticket may have started here whose record has been discarded.
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
  /// Incarnation that answered. Outcomes are acknowledged only if it equals the request's owner.
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
};

struct EntryInfo {
  Incarnation incarnation;
  std::string address;
  std::string data_centre;

  auto operator<=>(const EntryInfo&) const = default;
};

/// Sign of life of an agent that the entry knows.
struct Heartbeat {
  Incarnation agent;
  AgentLoad load;
  /// Digest of the entry list that the agent last had from the receiver; zero means none.
  std::uint64_t entries_digest = 0;
};

/// Reply to an announcement or a heartbeat. Also sent unasked (call `notice`) when an agent has to
/// know something before its next heartbeat.
struct AnnounceReply {
  EntryInfo entry;
  /// The live entries; left out when the agent has the list with this digest.
  std::vector<EntryInfo> entries;
  std::uint64_t entries_digest = 0;
  std::uint64_t configuration_version = 0;
  /// The entry uses the agent.
  bool member = false;
  /// False when the entry does not know the incarnation and needs a full announcement.
  bool known = true;
};

/// One agent of an owner's roster.
struct RosterItem {
  std::string service;
  Incarnation agent;
  std::string address;
  std::uint64_t first_roster = 0;
  /// Tickets with this roster number or a higher one never use the agent; zero while it is in use.
  std::uint64_t end_roster = 0;

  auto operator<=>(const RosterItem&) const = default;
};

/// Names the entry that answers for the tickets of one that has left.
struct Succession {
  Incarnation departed;
  EntryInfo successor;

  auto operator<=>(const Succession&) const = default;
};

/// Exchanged between entries; the reply has the same form.
struct Hello {
  EntryInfo entry;
  bool leaving = false;
  /// Live entries and successions; both left out when the receiver has those with this digest.
  std::vector<EntryInfo> entries;
  std::vector<Succession> successions;
  std::uint64_t digest = 0;
  /// The sender's current roster number; zero while it has used no agent.
  std::uint64_t roster_number = 0;
  /// The items that changed after this number; zero means the whole roster. Only a receiver that
  /// holds the roster at this number or a later one can apply the changes.
  std::uint64_t roster_base = 0;
  std::vector<RosterItem> roster;
  /// For tickets with a lower roster number the list may lack agents that left long ago, so it
  /// proves nothing about them.
  std::uint64_t complete_from = 0;
  /// What the sender holds of the receiver's own state: number of its roster and digest. Zero means
  /// nothing.
  std::uint64_t seen_roster = 0;
  std::uint64_t seen_digest = 0;
  /// Task starts per second asked for at the sender, by (service, team). Teams that are left out
  /// ask for none.
  std::map<std::pair<std::string, std::string>, double> demand;
  std::map<std::string, std::uint64_t> configuration_versions;
};

// ---- Jobs ---------------------------------------------------------------------------------

/// A caller's job.
struct Submission {
  std::string service;
  std::optional<Ticket> ticket;
  /// The caller's own idempotency key, claimed in the platform's table; empty when it has a ticket.
  std::string key;
  /// The caller's name of a job that may run again from the start after its answer was lost, as
  /// long as no two runs are under way at once. Nothing of such a job is kept; empty for other
  /// jobs.
  std::string name{};
  std::string team;
  std::string kind;
  /// Time until the caller needs the answer; zero means the kind's default.
  Milliseconds deadline{0};
  std::vector<TaskSpec> tasks;
  /// Hash of everything but the ticket; tells a resubmission from a conflicting job.
  std::uint64_t body_hash = 0;
};

enum class AnswerStatus { kComplete, kFailed, kRefused };

/// The one answer to a submission.
struct Answer {
  AnswerStatus status = AnswerStatus::kRefused;
  std::optional<Ticket> ticket;
  /// Set when refused.
  ErrorKind error = ErrorKind::kInternal;
  /// Set when failed: task_failed, outcome_unknown, deadline, cancelled.
  std::string reason;
  /// What happened and what to do about it.
  std::string message;
  /// True only with proof that no task of the job ran or will run.
  bool not_run = false;
  /// Results in task order; complete answers only.
  std::vector<std::string> results;
  std::vector<Ticket> fresh_tickets;
};

/// Sends a submission with a foreign ticket to the ticket's owner or its successor.
struct ForwardRequest {
  EntryInfo from;
  std::uint64_t request_id = 0;
  Submission submission;
};

struct ForwardReply {
  /// Incarnation that answered; the submission is taken only if `taken` is set.
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

/// One part of a leaving entry's ledger of used tickets, with the answers it still retains.
struct HandOver {
  Incarnation owner;
  std::string service;
  /// Number of this part, from zero, and of all parts. Only all parts together tell that a ticket
  /// was not used.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::uint64_t next_sequence = 0;
  /// Sequences below the floor are used or expired.
  std::uint64_t floor = 0;
  /// Used sequences at or above the floor, spread over the parts.
  std::vector<std::uint64_t> used;
  struct RetainedAnswer {
    std::uint64_t sequence = 0;
    std::uint64_t body_hash = 0;
    Answer answer;
  };
  std::vector<RetainedAnswer> answers;
};

/// Acknowledges a message that needs no other reply.
struct Acknowledgement {
  Incarnation from;
  bool accepted = false;
};

}  // namespace quetzalvale
