/// Input events of AgentCore and the actions it returns.
#pragma once

#include <cstdint>
#include <optional>
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
/// The endpoint answered a task, or the connection for the task broke.
struct EndpointFinished {
  TaskKey task;
  /// An error means that the connection broke, so the task may have run.
  Result<Outcome> outcome;
};
/// The endpoint refused the task without starting it.
struct EndpointRefused {
  TaskKey task;
  std::string reason;
};
/// Result of RenewLeases or CheckEndpoint.
struct EndpointChecked {
  bool up = false;
};
/// Resources used by one task, as last measured by the worker; the figures may be out of date.
struct TaskUsage {
  TaskKey task;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};
/// Result of PollUsage. Some of the tasks may have ended since.
struct UsageReported {
  std::vector<TaskUsage> tasks;
};
/// Result of SendOutcomes.
struct OutcomesReplied {
  Incarnation owner;
  std::vector<TaskKey> tasks;
  Result<OutcomesReply> reply;
  /// When the outcomes were sent. The reply proves that the owner was alive then; it may have
  /// waited here for long.
  Time sent{};
};
/// Message from an entry that cannot wait for the next heartbeat. Answered by a ReplyNotice with
/// the same id.
struct NoticeReceived {
  RequestId request = 0;
  AnnounceReply message;
};
/// Result of SendAnnounce or SendHeartbeat.
struct AnnounceReplied {
  std::string address;
  Result<AnnounceReply> reply;
  /// See OutcomesReplied.
  Time sent{};
};
/// The addresses of all registered entries.
struct EntriesListed {
  std::vector<std::string> addresses;
};
/// The agent received a version of its service's configuration.
struct AgentConfigurationChanged {
  std::shared_ptr<const ServiceConfiguration> configuration;
};

using AgentEvent =
    std::variant<StartReceived, WithdrawReceived, SealReceived, EndpointFinished, EndpointRefused,
                 EndpointChecked, UsageReported, OutcomesReplied, AnnounceReplied, NoticeReceived,
                 EntriesListed, AgentConfigurationChanged, LeaveRequested, Tick>;

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
  /// One slot and the resources that the task declares.
  Resources declared{};
  /// Number of this start of the task, from 1.
  std::uint32_t attempt = 1;
  /// For a repeatable task: the endpoint must not be asked to start it from then on. If this
  /// process is suspended after its decision, the owner may have given the task up meanwhile.
  std::optional<Time> start_before{};
};
struct StopOnEndpoint {
  TaskKey task;
};
struct RenewLeases {
  std::vector<TaskKey> tasks;
  Milliseconds lease{0};
};
/// Pause or resume the renewal of leases. For endpoints that have one lease for all runs; others
/// renew only the tasks named in RenewLeases.
struct PauseLeases {
  bool paused = false;
};
/// Check whether the endpoint is up, without starting a task.
struct CheckEndpoint {};
/// Ask the endpoint which resources its tasks use.
struct PollUsage {};
struct SendOutcomes {
  std::string address;
  OutcomesRequest message;
  Time sent{};
};
struct SendAnnounce {
  std::string address;
  Announce message;
  Time sent{};
};
struct SendHeartbeat {
  std::string address;
  Heartbeat message;
  Time sent{};
};
struct ReplyNotice {
  RequestId request = 0;
  Heartbeat reply;
};
/// Fetch this configuration version, which is newer than the agent's, from the entry.
struct FetchConfiguration {
  std::string address;
  std::uint64_t version = 0;
};

using AgentAction =
    std::variant<ReplyStart, ReplyWithdraw, ReplySeal, StartOnEndpoint, StopOnEndpoint, RenewLeases,
                 PauseLeases, CheckEndpoint, PollUsage, SendOutcomes, SendAnnounce, SendHeartbeat,
                 ReplyNotice, FetchConfiguration, LogEvent, Departed>;

}  // namespace quetzalvale
