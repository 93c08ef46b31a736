/// Decision logic of the agent: accepts, starts and reports the tasks of one endpoint.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/agent/agent_events.h"
#include "core/agent/agent_guards.h"
#include "core/agent/announcer.h"
#include "core/agent/channel_table.h"
#include "core/agent/endpoint_monitor.h"
#include "core/agent/lease_renewer.h"
#include "core/agent/outcome_sender.h"
#include "core/agent/run_watchdog.h"
#include "core/agent/sealed_tickets.h"
#include "core/agent/started_tickets.h"
#include "core/agent/task_store.h"
#include "core/messages.h"
#include "core/policy/worker_resources.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// Who the agent is; constant for one run of the process.
struct AgentIdentity {
  Incarnation incarnation;
  std::string name;
  std::string service;
  std::string data_centre;
  /// Inner address, `IPv4:port`.
  std::string address;
  WorkerCapacity worker;
};

/// A task is recorded before it is started and handed to the endpoint at most once. Not
/// thread-safe.
class AgentCore {
 public:
  AgentCore(AgentIdentity identity, std::vector<std::string> seed_entry_addresses,
            AgentGuards guards = {});
  /// For tests that disable guards or need small limits.
  AgentCore(AgentIdentity identity, std::vector<std::string> seed_entry_addresses,
            AgentGuards guards, TaskStore::Limits task_limits, std::size_t started_tasks,
            SealedTickets::Limits sealed_limits);
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Handles one event and returns what to do, in order. `now` must not decrease.
  std::vector<AgentAction> Handle(Time now, const AgentEvent& event);

  /// Number of outcomes that were in a message for the first time, and of those sent again.
  std::uint64_t OutcomesSent() const { return this->outcomes_sent; }
  std::uint64_t OutcomesResent() const { return this->outcomes_resent; }
  /// Number of messages with at least one outcome that was not in a message before.
  std::uint64_t MessagesWithNewOutcomes() const { return this->messages_with_new_outcomes; }

  /// Whether the agent takes starts: the endpoint answers and the agent is not leaving.
  bool IsReady() const { return this->endpoint.IsUp() && !this->leaving; }

  AgentLoad CurrentLoad() const;

 private:
  void On(const StartReceived& event);
  void On(const WithdrawReceived& event);
  void On(const SealReceived& event);
  void On(const EndpointFinished& event);
  void On(const EndpointRefused& event);
  void On(const EndpointChecked& event);
  void On(const UsageReported& event);
  void On(const OutcomesReplied& event);
  void On(const AnnounceReplied& event);
  void On(const NoticeReceived& event);
  void On(const EntryDiscovered& event);
  void On(const AgentConfigurationChanged& event);
  void On(const LeaveRequested& event);
  void On(const Tick& event);

  StartRefusal DecideStart(const StartRequest& request, const StartItem& item, StartReply* reply);
  StartRefusal DecideRecorded(const TaskRecord& record, StartReply* reply) const;
  StartRefusal DecideUnrecorded(const StartRequest& request, const StartItem& item);
  /// Whether the task would neither start now nor find room in the queue.
  bool IsBusy(const Resources& task) const;

  TaskReport Withdraw(const WithdrawRequest& request, const WithdrawItem& item);
  TaskReport MakeReport(const TaskKey& task) const;
  /// Whether records of the ticket's started tasks may have been discarded.
  bool MaybeStarted(const Ticket& ticket) const;

  /// Ends a task that was not handed over, with a reason that proves that it did not run.
  void FinishNotRun(const TaskKey& task, std::string_view reason);
  void QueueOutcome(const TaskKey& task);
  /// Whether another task of the same job has not ended here. Its owner cannot answer before that.
  bool JobHasUnfinishedTasks(const TaskKey& task) const;
  void Release(const std::vector<TaskKey>& tasks);

  void LogProcessPause();
  void FailExpiredTasks();
  /// Ends the runs of repeatable jobs that their owners may have given up.
  void StopOverdueRuns();
  /// Keeps no run of a silent owner any longer; see RunWatchdog::kMaxSilenceForRenewal.
  void PauseLeasesIfOwnerSilent();
  /// Whether a repeatable task of the request came so late that its owner has given it up.
  bool IsPastAcceptUntil(const StartRequest& request) const;
  /// Hands over what may start, oldest first.
  void StartQueuedTasks();
  /// Whether a task behind `ahead` may start now: a slot and all that it declares are free, and it
  /// delays no task ahead that was overtaken too often.
  bool MayStart(const Resources& task, std::span<const TaskKey> ahead) const;
  void Dispatch(const TaskKey& task, std::span<const TaskKey> ahead);
  /// What a new task may take now.
  Resources FreeForNewTasks() const;
  void FinishRunning(const TaskKey& task, Outcome outcome, bool refused);
  /// Keeps what a task declares taken although its connection broke, because it may go on until its
  /// lease ends.
  void HoldUntilLeaseExpires(const TaskKey& task);
  void ReleaseExpiredHolds();
  void PollUsageIfDue();
  void RenewDueLeases();
  void SendDueOutcomes();
  void AnnounceIfDue();
  Announce MakeAnnounce() const;
  Heartbeat MakeHeartbeat(std::uint64_t entries_digest) const;
  /// Whether the agent holds tasks or outcomes of the entry at this address.
  bool HoldsTasksOfEntryAt(const std::string& address) const;
  void CheckEndpointIfDue();
  void ForgetClosedOwners();
  void DepartIfDone();
  /// Asks for the configuration if this version is newer and not being fetched.
  void FetchConfigurationIfNewer(std::uint64_t version, const std::string& address);
  void AddLogEvent(int number, std::string_view name, std::string details);

  AgentIdentity identity;
  AgentGuards guards;
  std::shared_ptr<const ServiceConfiguration> configuration;
  TaskStore store;
  StartedTickets started;
  SealedTickets sealed;
  ChannelTable channels;
  WorkerResources resources;
  /// Cores, memory and accelerators of tasks whose connection broke, by the end of their lease.
  std::multimap<Time, Resources> held_resources;
  Time next_usage_poll{};
  LeaseRenewer leases;
  RunWatchdog watchdog;
  OutcomeSender outcomes;
  Announcer announcer;
  EndpointMonitor endpoint;

  std::uint64_t outcomes_sent = 0;
  std::uint64_t outcomes_resent = 0;
  std::uint64_t messages_with_new_outcomes = 0;
  std::uint64_t requested_version = 0;
  Milliseconds fetch_backoff{0};
  Time next_fetch{};

  bool leaving = false;
  bool departed = false;
  Time leaving_since{};
  /// When the last task finished while leaving, and when all entries knew.
  std::optional<Time> idle_since;
  /// What the endpoint was told last.
  bool leases_paused = false;
  std::optional<Time> leave_known_since;

  /// Time of the event being handled and of the one before.
  Time now{};
  std::optional<Time> previous;
  std::vector<AgentAction> actions;
};

}  // namespace quetzalvale
