/// Events that drive EntryCore and the actions that it returns.
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

/// Number of an inner call that waits for a reply, or of a caller's request. Chosen by the program,
/// unique within the process.
using RequestId = std::uint64_t;

// ---- Events -------------------------------------------------------------------------------

/// A caller's job arrived over HTTP. Answered by AnswerCaller with the same id.
struct JobSubmitted {
  RequestId request = 0;
  Submission submission;
};
/// A caller asks for unused tickets. Answered by GrantTickets.
struct TicketsRequested {
  RequestId request = 0;
  std::string service;
  std::uint32_t count = 0;
};
/// A caller asks how a job stands. Answered by AnswerQuery.
struct JobQueried {
  RequestId request = 0;
  Ticket ticket;
};
/// A caller or peer cancels a job. Answered by AnswerQuery.
struct JobCancelled {
  RequestId request = 0;
  Ticket ticket;
};
/// Result of ClaimKey: the ticket that the key belongs to, claimed now or earlier, or an error.
struct KeyClaimed {
  RequestId request = 0;
  Result<Ticket> ticket;
};

/// The caller closed its connection before it had the answer to a repeatable job. It may submit the
/// job again to any entry, so nothing of it may go on here.
struct CallerGone {
  RequestId request = 0;
};

struct AgentAnnounced {
  RequestId request = 0;
  Announce announce;
};
struct HeartbeatReceived {
  RequestId request = 0;
  Heartbeat message;
};
/// Result of SendNotice.
struct NoticeReplied {
  Incarnation agent;
  AnnounceReply told;
  std::uint64_t arrivals = 0;
  Result<Heartbeat> reply;
};
/// Result of SendStart. An error means that the agent may or may not have the message.
struct StartReplied {
  Incarnation agent;
  std::uint64_t channel_sequence = 0;
  Result<StartReply> reply;
};
struct WithdrawReplied {
  Incarnation agent;
  std::vector<WithdrawItem> items;
  Result<WithdrawReply> reply;
};
struct SealReplied {
  Incarnation agent;
  Ticket ticket;
  Result<SealReply> reply;
};
struct OutcomesReceived {
  RequestId request = 0;
  OutcomesRequest message;
};

struct HelloReceived {
  RequestId request = 0;
  Hello hello;
};
/// Result of SendHello.
struct HelloReplied {
  std::string address;
  Result<Hello> reply;
};
struct ForwardReceived {
  RequestId request = 0;
  ForwardRequest message;
};
/// Result of SendForward; names the local request that was forwarded.
struct ForwardReplied {
  RequestId request = 0;
  Incarnation to;
  Result<ForwardReply> reply;
};
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

/// Addresses of other entries that the platform's table names.
struct EntriesRead {
  std::vector<EntryInfo> entries;
};
struct ConfigurationChanged {
  std::shared_ptr<const ServiceConfiguration> configuration;
};
/// Begin a graceful departure. EntryCore reports its end by Departed.
struct LeaveRequested {};
/// Time has passed. Sent at least every 10 ms while jobs are in progress and every 100 ms
/// otherwise.
struct Tick {};

using EntryEvent =
    std::variant<JobSubmitted, TicketsRequested, JobQueried, JobCancelled, KeyClaimed, CallerGone,
                 AgentAnnounced, HeartbeatReceived, NoticeReplied, StartReplied, WithdrawReplied,
                 SealReplied, OutcomesReceived, HelloReceived, HelloReplied, ForwardReceived,
                 ForwardReplied, AnswerReceived, AnswerReplied, HandOverReceived, HandOverReplied,
                 EntriesRead, ConfigurationChanged, LeaveRequested, Tick>;

// ---- Actions ------------------------------------------------------------------------------

struct AnswerCaller {
  RequestId request = 0;
  Answer answer;
};
struct GrantTickets {
  RequestId request = 0;
  Result<std::vector<Ticket>> tickets;
};
/// No answer inside means that the job is in progress.
struct AnswerQuery {
  RequestId request = 0;
  Result<std::optional<Answer>> answer;
};
/// Claim the key in the platform's table for this ticket, or find the ticket it belongs to.
struct ClaimKey {
  RequestId request = 0;
  std::string service;
  std::string key;
  std::uint64_t body_hash = 0;
  Ticket ticket;
};
struct SendStart {
  std::string address;
  StartRequest message;
};
struct SendWithdraw {
  std::string address;
  WithdrawRequest message;
};
struct SendSeal {
  std::string address;
  Incarnation agent;
  SealRequest message;
};
/// Tell an agent something before its next heartbeat.
struct SendNotice {
  std::string address;
  Incarnation agent;
  AnnounceReply message;
  /// Entries that had appeared by now; comes back in the result.
  std::uint64_t arrivals = 0;
};
struct SendHello {
  std::string address;
  Hello message;
};
struct SendForward {
  std::string address;
  Incarnation to;
  /// request_id inside is the local request.
  ForwardRequest message;
};
struct SendAnswer {
  std::string address;
  AnswerRequest message;
};
struct SendHandOver {
  std::string address;
  Incarnation to;
  HandOver message;
};
struct SendCancel {
  std::string address;
  CancelRequest message;
};

/// Replies to inner calls, by the id of the event that asked.
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

/// A job was answered, for the metrics.
struct ReportJob {
  struct Stages {
    Time::duration waited{};
    Time::duration away{};
    Time::duration run{};
  };
  std::string kind;
  AnswerStatus status = AnswerStatus::kComplete;
  Time::duration total{};
  /// Of the task that ended last; empty when none has ended.
  std::optional<Stages> last_task{};
};
/// A numbered event for the log; see docs/events.md.
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
                 ReplyAnnounce, ReplyOutcomes, ReplyHello, ReplyForward, ReplyAcknowledgement,
                 ReportJob, LogEvent, Departed>;

}  // namespace quetzalvale
