/// Events that EntryCore handles and actions that it returns.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/messages.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// Identifies an internal call that waits for a reply, or a caller's request. Chosen by the program
/// that runs EntryCore; unique within the process.
using RequestId = std::uint64_t;

// ---- Events -------------------------------------------------------------------------------

/// A caller submitted a job over HTTP. Answered by AnswerCaller with the same id.
struct JobSubmitted {
  RequestId request = 0;
  Submission submission;
};
/// A caller requests unused tickets. Answered by GrantTickets.
struct TicketsRequested {
  RequestId request = 0;
  std::string service;
  std::uint32_t count = 0;
};
/// A caller queries the state of a job. Answered by AnswerQuery.
struct JobQueried {
  RequestId request = 0;
  Ticket ticket;
};
/// A caller or peer cancels a job. Answered by AnswerQuery.
struct JobCancelled {
  RequestId request = 0;
  Ticket ticket;
};
/// Result of ClaimKey: the ticket that the key is bound to, by this claim or an earlier one, or an
/// error.
struct KeyClaimed {
  RequestId request = 0;
  Result<Ticket> ticket;
};

/// The caller closed its connection before it received the answer to a repeatable job. It may
/// submit the job again to any entry, so the job is cancelled here unless other requests wait for
/// it.
struct CallerDisconnected {
  RequestId request = 0;
};

/// A caller cancels the repeatable job of this name. Answered by AnswerCaller with the same id:
/// failed with kCancelledByRequest, or refused with kNotFound if no such job is in progress here.
struct NamedJobCancelled {
  RequestId request = 0;
  std::string name;
};

/// Another entry tells of jobs that were cancelled there. Answered by ReplyAcknowledgement.
struct CancellationsReceived {
  RequestId request = 0;
  CancelledJobs message;
};
/// Result of SendCancellations.
struct CancellationsReplied {
  Incarnation to;
  std::uint64_t last = 0;
  Result<Acknowledgement> reply;
};

/// An agent announced itself. Answered by ReplyAnnounce.
struct AgentAnnounced {
  RequestId request = 0;
  Announce announce;
};
/// An agent sent a heartbeat. Answered by ReplyAnnounce.
struct HeartbeatReceived {
  RequestId request = 0;
  Heartbeat message;
};
/// Result of SendNotice.
struct NoticeReplied {
  Incarnation agent;
  AnnounceReply sent_notice;
  /// SendNotice::arrivals.
  std::uint64_t arrivals = 0;
  Result<Heartbeat> reply;
};
/// Result of SendStart. After an error the agent may or may not have received the message.
struct StartReplied {
  Incarnation agent;
  std::uint64_t channel_sequence = 0;
  Result<StartReply> reply;
};
/// Result of SendWithdraw.
struct WithdrawReplied {
  Incarnation agent;
  std::vector<WithdrawItem> items;
  Result<WithdrawReply> reply;
};
/// Result of SendSeal.
struct SealReplied {
  Incarnation agent;
  Ticket ticket;
  Result<SealReply> reply;
};
/// An agent reported outcomes of tasks. Answered by ReplyOutcomes.
struct OutcomesReceived {
  RequestId request = 0;
  OutcomesRequest message;
};

/// Another entry sent a hello. Answered by ReplyHello.
struct HelloReceived {
  RequestId request = 0;
  Hello hello;
};
/// Result of SendHello.
struct HelloReplied {
  std::string address;
  Result<Hello> reply;
};
/// Another entry forwarded a submission. Answered by ReplyForward; the job's answer follows by
/// SendAnswer.
struct ForwardReceived {
  RequestId request = 0;
  ForwardRequest message;
};
/// Result of SendForward. `request` is the local request that was forwarded.
struct ForwardReplied {
  RequestId request = 0;
  Incarnation to;
  Result<ForwardReply> reply;
};
/// Another entry sent the answer to a forwarded submission. Answered by ReplyAcknowledgement.
struct AnswerReceived {
  RequestId request = 0;
  AnswerRequest message;
};
/// Result of SendAnswer.
struct AnswerReplied {
  Incarnation to;
  RequestId forwarded_request = 0;
  Result<Acknowledgement> reply;
};
/// A leaving entry sent a part of a ticket ledger. Answered by ReplyAcknowledgement.
struct HandOverReceived {
  RequestId request = 0;
  HandOver message;
};
/// Result of SendHandOver.
struct HandOverReplied {
  Incarnation to;
  std::string service;
  Result<Acknowledgement> reply;
};

/// Other entries listed in the platform's table.
struct EntriesRead {
  std::vector<EntryInfo> entries;
};
/// A service's configuration was read from the platform. Ignored unless its version is newer.
struct ConfigurationChanged {
  std::shared_ptr<const ServiceConfiguration> configuration;
};
/// The complete set of evacuated data centres, read from the platform. Ignored unless its version
/// is the newest known.
struct EvacuationsRead {
  EvacuationSet evacuations;
};
/// Requests a graceful departure. EntryCore reports its completion by Departed.
struct LeaveRequested {};
/// Drives timers. Sent at least every 10 ms while jobs are in progress and every 100 ms
/// otherwise.
struct Tick {};

using EntryEvent =
    std::variant<JobSubmitted, TicketsRequested, JobQueried, JobCancelled, KeyClaimed,
                 CallerDisconnected, NamedJobCancelled, CancellationsReceived, CancellationsReplied,
                 AgentAnnounced, HeartbeatReceived, NoticeReplied, StartReplied, WithdrawReplied,
                 SealReplied, OutcomesReceived, HelloReceived, HelloReplied, ForwardReceived,
                 ForwardReplied, AnswerReceived, AnswerReplied, HandOverReceived, HandOverReplied,
                 EntriesRead, ConfigurationChanged, EvacuationsRead, LeaveRequested, Tick>;

// ---- Actions ------------------------------------------------------------------------------

/// Answer a job submitted by JobSubmitted.
struct AnswerCaller {
  RequestId request = 0;
  Answer answer;
};
/// Answer TicketsRequested.
struct GrantTickets {
  RequestId request = 0;
  Result<std::vector<Ticket>> tickets;
};
/// Answer JobQueried or JobCancelled. An empty optional means that the job is in progress.
struct AnswerQuery {
  RequestId request = 0;
  Result<std::optional<Answer>> answer;
};
/// Bind the key to this ticket in the platform's table, or find the ticket it is already bound to.
struct ClaimKey {
  RequestId request = 0;
  std::string service;
  std::string key;
  std::uint64_t body_hash = 0;
  Ticket ticket;
};
/// Start tasks at an agent. The result comes as StartReplied.
struct SendStart {
  std::string address;
  StartRequest message;
};
/// Withdraw started tasks from an agent. The result comes as WithdrawReplied.
struct SendWithdraw {
  std::string address;
  WithdrawRequest message;
};
/// Ask an agent to refuse further starts for a ticket and to report what it knows of the ticket's
/// tasks. The result comes as SealReplied.
struct SendSeal {
  std::string address;
  Incarnation agent;
  SealRequest message;
};
/// Send an agent current information without waiting for its next heartbeat. The result comes as
/// NoticeReplied.
struct SendNotice {
  std::string address;
  Incarnation agent;
  AnnounceReply message;
  /// Number of entries that had appeared when the notice was sent. Returned in NoticeReplied.
  std::uint64_t arrivals = 0;
};
/// Exchange state with another entry. The result comes as HelloReplied.
struct SendHello {
  std::string address;
  Hello message;
};
/// Forward a submission to the entry that holds its ticket. The result comes as ForwardReplied.
struct SendForward {
  std::string address;
  Incarnation to;
  /// Its request_id is the local request.
  ForwardRequest message;
};
/// Send the answer to a forwarded submission. The result comes as AnswerReplied.
struct SendAnswer {
  std::string address;
  AnswerRequest message;
};
/// Send a part of a ticket ledger to the successor. The result comes as HandOverReplied.
struct SendHandOver {
  std::string address;
  Incarnation to;
  HandOver message;
};
/// Pass a cancellation to the entry that owns the ticket.
struct SendCancel {
  std::string address;
  CancelRequest message;
};
/// Tell another entry of cancelled jobs. The result comes as CancellationsReplied.
struct SendCancellations {
  std::string address;
  Incarnation to;
  /// See Cancellations::Batch.
  std::uint64_t last = 0;
  CancelledJobs message;
};

// Replies to internal calls. `request` is the id in the event that is answered.

/// Replies to AgentAnnounced and HeartbeatReceived.
struct ReplyAnnounce {
  RequestId request = 0;
  AnnounceReply reply;
};
struct ReplyOutcomes {
  RequestId request = 0;
  OutcomesReply reply;
};
struct ReplyHello {
  RequestId request = 0;
  Hello reply;
};
struct ReplyForward {
  RequestId request = 0;
  ForwardReply reply;
};
struct ReplyAcknowledgement {
  RequestId request = 0;
  Acknowledgement reply;
};

/// A job was answered. For the metrics.
struct ReportJob {
  /// Times of one task: from the job's submission to the start message, from the start message to
  /// the outcome, and the run itself.
  struct Stages {
    Time::duration waited{};
    Time::duration at_agent{};
    Time::duration run{};
  };
  std::string kind;
  AnswerStatus status = AnswerStatus::kComplete;
  Time::duration total{};
  /// Times of the task that ended last; empty if none has ended.
  std::optional<Stages> last_task{};
};
/// Write a numbered event to the log. See docs/events.md.
struct LogEvent {
  int number = 0;
  std::string name;
  /// `key=value` pairs.
  std::string details;
};
/// The departure is complete; the process may exit.
struct Departed {};

using EntryAction =
    std::variant<AnswerCaller, GrantTickets, AnswerQuery, ClaimKey, SendStart, SendWithdraw,
                 SendSeal, SendNotice, SendHello, SendForward, SendAnswer, SendHandOver, SendCancel,
                 SendCancellations, ReplyAnnounce, ReplyOutcomes, ReplyHello, ReplyForward,
                 ReplyAcknowledgement, ReportJob, LogEvent, Departed>;

}  // namespace quetzalvale
