/// Events that drive AgentCore and the actions that it returns.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/entry/entry_events.h"
#include "core/messages.h"
#include "core/policy/worker_resources.h"

namespace quetzalvale {

// ---- Events -------------------------------------------------------------------------------

struct StartReceived {
  RequestId request = 0;
  StartRequest message;
};
struct WithdrawReceived {
  RequestId request = 0;
  WithdrawRequest message;
};
struct SealReceived {
  RequestId request = 0;
  SealRequest message;
};
/// The endpoint answered a task, or the request to it broke.
struct EndpointFinished {
  TaskKey task;
  /// An error means that the connection broke: the task may have run.
  Result<Outcome> outcome;
};
/// The endpoint refused the task before starting it.
struct EndpointRefused {
  TaskKey task;
  std::string reason;
};
/// Result of RenewLeases or of a probe of the endpoint.
struct EndpointChecked {
  bool up = false;
};
/// What one task used some time ago, as the worker measured it.
struct TaskUsage {
  TaskKey task;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};
/// Result of PollUsage. The tasks may have ended since.
struct UsageReported {
  std::vector<TaskUsage> tasks;
};
/// Result of SendOutcomes.
struct OutcomesReplied {
  Incarnation owner;
  std::vector<TaskKey> tasks;
  Result<OutcomesReply> reply;
};
/// An entry tells something before the next heartbeat. Answered by ReplyNotice with the same id.
struct NoticeReceived {
  RequestId request = 0;
  AnnounceReply message;
};
/// Result of SendAnnounce or SendHeartbeat.
struct AnnounceReplied {
  std::string address;
  Result<AnnounceReply> reply;
};
/// An entry's inner address became known.
struct EntryDiscovered {
  std::string address;
};
/// The agent fetched this version of its service's configuration.
struct AgentConfigurationChanged {
  std::shared_ptr<const ServiceConfiguration> configuration;
};

using AgentEvent =
    std::variant<StartReceived, WithdrawReceived, SealReceived, EndpointFinished, EndpointRefused,
                 EndpointChecked, UsageReported, OutcomesReplied, AnnounceReplied, NoticeReceived,
                 EntryDiscovered, AgentConfigurationChanged, LeaveRequested, Tick>;

// ---- Actions ------------------------------------------------------------------------------

struct ReplyStart {
  RequestId request = 0;
  StartReply reply;
};
struct ReplyWithdraw {
  RequestId request = 0;
  WithdrawReply reply;
};
struct ReplySeal {
  RequestId request = 0;
  SealReply reply;
};
/// Send the task to the endpoint, exactly once.
struct StartOnEndpoint {
  TaskKey task;
  std::string kind;
  std::string payload;
  Milliseconds lease{0};
  Milliseconds time_left{0};
  /// One slot and what the task declares.
  Resources declared{};
  /// Number of the start, from 1.
  std::uint32_t attempt = 1;
};
struct StopOnEndpoint {
  TaskKey task;
};
struct RenewLeases {
  std::vector<TaskKey> tasks;
  Milliseconds lease{0};
};
/// Extend the leases of runs no further, or go on extending them. For endpoints with one lease for
/// all runs; others keep only the tasks of RenewLeases.
struct PauseLeases {
  bool paused = false;
};
/// Query the endpoint whether it is up, without starting anything.
struct CheckEndpoint {};
/// Query the endpoint what its tasks use.
struct PollUsage {};
struct SendOutcomes {
  std::string address;
  OutcomesRequest message;
};
struct SendAnnounce {
  std::string address;
  Announce message;
};
struct SendHeartbeat {
  std::string address;
  Heartbeat message;
};
struct ReplyNotice {
  RequestId request = 0;
  Heartbeat reply;
};
/// An entry has a newer configuration than this agent.
struct FetchConfiguration {
  std::string address;
  std::uint64_t version = 0;
};

using AgentAction =
    std::variant<ReplyStart, ReplyWithdraw, ReplySeal, StartOnEndpoint, StopOnEndpoint, RenewLeases,
                 PauseLeases, CheckEndpoint, PollUsage, SendOutcomes, SendAnnounce, SendHeartbeat,
                 ReplyNotice, FetchConfiguration, LogEvent, Departed>;

}  // namespace quetzalvale
