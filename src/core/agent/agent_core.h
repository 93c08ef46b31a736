/// Decision logic of the agent: accepts the tasks of one endpoint, starts them and reports their
/// outcomes.
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
#include "core/policy/run_speed.h"
#include "core/policy/worker_resources.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// Identity of the agent; constant for one run of the process.
struct AgentIdentity {
  Incarnation incarnation;
  std::string name;
  std::string service;
  std::string data_centre;
  /// Address for calls between entries and agents, `IPv4:port`.
  std::string address;
  WorkerCapacity worker;
  /// See Announce.
  std::vector<std::string> labels{};
  std::uint64_t endpoint_incarnation = 0;
};

/// State machine of the agent: takes events and returns actions, without I/O of its own. A task is
/// recorded before it is started, and dispatched to the endpoint at most once. Not thread-safe.
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

  /// Handles one event and returns the actions to execute, in order. Precondition: `now` never
  /// decreases from one call to the next.
  std::vector<AgentAction> Handle(Time now, const AgentEvent& event);

  /// Number of outcomes sent for the first time, and of those sent again.
  std::uint64_t OutcomesSent() const { return this->outcomes_sent; }
  std::uint64_t OutcomesResent() const { return this->outcomes_resent; }
  /// Number of messages with at least one outcome that had not been sent before.
  std::uint64_t MessagesWithNewOutcomes() const { return this->messages_with_new_outcomes; }

  /// Whether the agent's data centre is evacuated.
  bool IsEvacuated() const { return this->evacuated; }

  /// Whether the agent accepts starts: the endpoint is up and the agent is not leaving.
  bool IsReady() const { return this->endpoint.IsUp() && !this->leaving; }

  /// Free resources and queue length, as reported to entries.
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
  void On(const EntriesListed& event);
  void On(const AgentConfigurationChanged& event);
  void On(const LeaveRequested& event);
  void On(const Tick& event);

  StartRefusal DecideStart(const StartRequest& request, const StartItem& item, StartReply* reply);
  /// Answers a start of a task that already has a record, which the start may take over.
  StartRefusal DecideRecorded(const TaskRecord& record, const StartRequest& request,
                              const StartItem& item, StartReply* reply);
  StartRefusal DecideUnrecorded(const StartRequest& request, const StartItem& item);
  /// Whether the task can neither start now nor be queued.
  bool IsBusy(const Resources& task) const;

  TaskReport Withdraw(const WithdrawRequest& request, const WithdrawItem& item);
  TaskReport MakeReport(const TaskKey& task) const;
  /// Whether tasks of the ticket may have started whose records were discarded.
  bool MaybeStarted(const Ticket& ticket) const;

  /// Finishes a task that was not dispatched. `reason` has to prove that it did not run.
  void FinishNotRun(const TaskKey& task, std::string_view reason);
  /// Queues the outcome for its owner, or releases the record if the owner is gone.
  void QueueOutcome(const TaskKey& task);
  /// Whether the task's job has unfinished tasks on this agent. The owner cannot answer the job
  /// before they have finished.
  bool JobHasUnfinishedTasks(const TaskKey& task) const;
  /// Starts the retention time of the records.
  void Release(const std::vector<TaskKey>& tasks);

  /// Logs that the process was suspended, if the time since the last event shows it.
  void LogProcessPause();
  /// Fails queued tasks whose deadline has passed.
  void FailExpiredTasks();
  /// Stops withdrawn runs, and those of repeatable jobs that their owners or callers may have given
  /// up.
  void StopOverdueRuns();
  /// Stops lease renewal while an owner is silent or a run outlasts its stop; see
  /// RunWatchdog::ForbidsLeaseRenewal.
  void PauseLeasesIfForbidden();
  /// Whether the request arrived after its `accept_until`: its owner has given up its repeatable
  /// tasks by then.
  bool IsPastAcceptUntil(const StartRequest& request) const;
  /// Returns when the owner made the request. It may have waited here for long.
  Time DecisionTime(const StartRequest& request) const;
  /// Dispatches the queued tasks that may start, oldest first. A leaving agent returns them to
  /// their owners instead, because its worker may start nothing soon after it announced that it
  /// drains.
  void StartQueuedTasks();
  /// Returns all queued tasks to their owners, as not run.
  void ReturnQueuedTasks();
  /// Whether a task queued behind `ahead` may start now: a slot and its declared resources are
  /// free, and it does not delay a task ahead that was already bypassed kMaxBypasses times.
  bool MayStart(const Resources& task, std::span<const TaskKey> ahead) const;
  void Dispatch(const TaskKey& task, std::span<const TaskKey> ahead);
  /// Resources available to a new task: the free ones less those reserved for queued tasks.
  Resources FreeForNewTasks() const;
  void FinishRunning(const TaskKey& task, Outcome outcome, bool refused);
  /// Keeps the declared resources of a task reserved after its connection broke, because the task
  /// may run on until its lease expires.
  void HoldUntilLeaseExpires(const TaskKey& task);
  void ReleaseExpiredHolds();
  void PollUsageIfDue();
  void RenewDueLeases();
  void SendDueOutcomes();
  void AnnounceIfDue();
  /// Logs that no entry uses the agent, at growing intervals.
  void LogIfUnused();
  Announce MakeAnnounce() const;
  Heartbeat MakeHeartbeat(std::uint64_t entries_digest) const;
  /// Whether the agent holds unfinished tasks or undelivered outcomes of the entry at this address.
  bool HoldsTasksOfEntryAt(const std::string& address) const;
  void CheckEndpointIfDue();
  void ForgetClosedOwners();
  void DepartIfDone();
  /// Whether a leaving agent has outcomes left to deliver that are still of use. Precondition: all
  /// tasks have finished.
  bool HasUsefulOutcomes() const;
  /// Requests the configuration if this version is newer than the current one, unless it was
  /// requested and the backoff has not passed yet.
  void FetchConfigurationIfNewer(std::uint64_t version, const std::string& address);
  /// Takes over whether the data centre is evacuated if the message is newer than what the agent
  /// was told last. Returns queued tasks as not run if an evacuation begins.
  void ApplyEvacuation(const AnnounceReply& message);
  void AddLogEvent(int number, std::string_view name, std::string details);

  AgentIdentity identity;
  AgentGuards guards;
  std::shared_ptr<const ServiceConfiguration> configuration;
  TaskStore store;
  StartedTickets started;
  SealedTickets sealed;
  ChannelTable channels;
  WorkerResources resources;
  /// Cores, memory and accelerators of tasks whose connection broke, by the expiry of their lease.
  std::multimap<Time, Resources> held_resources;
  Time next_usage_poll{};
  LeaseRenewer leases;
  RunWatchdog watchdog;
  RunSpeed speed;
  OutcomeSender outcomes;
  Announcer announcer;
  EndpointMonitor endpoint;

  std::uint64_t outcomes_sent = 0;
  std::uint64_t outcomes_resent = 0;
  std::uint64_t messages_with_new_outcomes = 0;
  /// When it is logged next that no entry uses the agent; empty while one does.
  std::optional<Time> next_unused_log;

  std::uint64_t requested_version = 0;
  Milliseconds fetch_backoff{0};
  Time next_fetch{};

  /// Whether the data centre is evacuated, at the highest version that an entry has told.
  std::uint64_t evacuation_version = 0;
  bool evacuated = false;

  bool leaving = false;
  bool departed = false;
  Time leaving_since{};
  /// While leaving: when the last task finished, and when all entries knew that the agent is
  /// leaving (leave_known_since).
  std::optional<Time> idle_since;
  /// Last PauseLeases state sent to the endpoint.
  bool leases_paused = false;
  std::optional<Time> leave_known_since;

  /// Time of the current event and of the one before.
  Time now{};
  std::optional<Time> previous;
  std::vector<AgentAction> actions;
};

}  // namespace quetzalvale
