/// Decision logic of an entry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/entry/agent_directory.h"
#include "core/entry/answer_outbox.h"
#include "core/entry/answer_store.h"
#include "core/entry/entry_events.h"
#include "core/entry/entry_guards.h"
#include "core/entry/entry_status.h"
#include "core/entry/forward_table.h"
#include "core/entry/job_table.h"
#include "core/entry/peer_table.h"
#include "core/entry/salvage.h"
#include "core/entry/service_state.h"
#include "core/entry/start_batcher.h"
#include "core/policy/admission.h"
#include "core/policy/placement.h"
#include "core/policy/round_trips.h"

namespace quetzalvale {

/// Turns events into actions. Owns the tickets of one entry incarnation and the jobs submitted with
/// them. Not thread-safe. A `now` earlier than the last one counts as the last one.
class EntryCore {
 public:
  /// `seed_addresses` are the inner addresses of other entries known from the settings.
  EntryCore(EntryInfo self, std::vector<std::string> services,
            std::vector<std::string> seed_addresses, std::uint64_t seed, EntryGuards guards = {});

  std::vector<EntryAction> Handle(Time event_time, const EntryEvent& event);

  EntryStatus Status(Time status_time) const;

  /// Replaces the configured placement policy of every service, for tests.
  void SetPlacement(PlacementHook hook);

 private:
  using TicketAnswers = AnswerStore<Ticket>;
  /// By service and name, joined by a slash.
  using RepeatableAnswers = AnswerStore<std::string>;

  /// Why a submission is refused.
  struct Refusal {
    ErrorKind kind = ErrorKind::kInternal;
    std::string message;
    bool not_run = false;
    /// What was weighed; empty when that was not the load.
    std::optional<LoadView> load{};
  };

  struct SalvagedJob {
    Salvage salvage;
    std::uint64_t body_hash = 0;
    std::vector<Waiter> waiters;
  };

  struct AdoptedLedger {
    TicketLedger ledger;
    Time adopted{};
  };

  /// An agent that may take a task now.
  struct UsableAgent {
    Agent* agent = nullptr;
    Candidate candidate;
    bool probe = false;
    /// The report is too old to be believed where it says "full".
    bool report_stale = false;
    /// The old report says that neither a slot nor the queue is free.
    bool assumes_free_slot = false;
    Resources free;
  };

  /// Agents that may take one task, as positions in the list of usable agents.
  struct PlacementOptions {
    std::vector<std::size_t> positions;
    std::vector<Candidate> candidates;
    /// Positions of candidates with a free slot that lack cores, memory or accelerators now.
    std::vector<std::size_t> short_of_resources;
    /// The probe of an ejected endpoint that the task may be.
    std::optional<std::size_t> probe;
    bool any_free = false;
  };

  /// Tasks of one job that declare the same are blocked alike in one round of placement.
  struct TaskClass {
    std::uint64_t job = 0;
    Resources declared;

    bool operator==(const TaskClass&) const = default;
  };

  enum class PlacementResult {
    kPlaced,
    /// The policy leaves the task waiting.
    kDeclined,
    /// No agent may take the task now.
    kNoUsableAgent,
    /// The retry budget is used up.
    kRetryBudgetEmpty
  };

  struct Departure {
    enum class Stage { kNone, kFinishing, kHandingOver, kAnnouncing, kDeparted };
    Stage stage = Stage::kNone;
    std::vector<HandOver> parts;
    std::size_t next_part = 0;
    bool in_flight = false;
    std::optional<EntryInfo> successor;
    std::vector<Incarnation> tried;
    Time next_selection{};
    Time stage_deadline{};
  };

  // Events; one handler each.
  void On(const JobSubmitted& event);
  void On(const TicketsRequested& event);
  void On(const JobQueried& event);
  void On(const JobCancelled& event);
  void On(const KeyClaimed& event);
  void On(const CallerGone& event);
  void On(const AgentAnnounced& event);
  void On(const HeartbeatReceived& event);
  void On(const NoticeReplied& event);
  void On(const StartReplied& event);
  void On(const WithdrawReplied& event);
  void On(const SealReplied& event);
  void On(const OutcomesReceived& event);
  void On(const HelloReceived& event);
  void On(const HelloReplied& event);
  void On(const ForwardReceived& event);
  void On(const ForwardReplied& event);
  void On(const AnswerReceived& event);
  void On(const AnswerReplied& event);
  void On(const HandOverReceived& event);
  void On(const HandOverReplied& event);
  void On(const EntriesRead& event);
  void On(const ConfigurationChanged& event);
  void On(const LeaveRequested& event);
  void On(const Tick& event);

  // Time and common parts (entry_core.cc).
  void Advance(Time event_time);
  void RunPeriodicWork();
  void ProcessPendingWork();
  ServiceState* FindService(std::string_view name);
  const ServiceState* FindService(std::string_view name) const;
  ServiceConfiguration::Health Health() const;
  void Log(int number, std::string_view name, std::string details);
  template <typename Action>
  void Emit(Action action) {
    this->actions.emplace_back(std::move(action));
  }

  // Submissions (entry_core_submissions.cc).
  void Submit(const Waiter& waiter, const Submission& submission);
  void SubmitWithOwnTicket(ServiceState& service, const Waiter& waiter,
                           const Submission& submission);
  void SubmitWithUnusedTicket(ServiceState& service, const Waiter& waiter,
                              const Submission& submission);
  void SubmitWithKey(ServiceState& service, const Waiter& waiter, const Submission& submission);
  std::optional<Refusal> CheckSubmission(ServiceState& service, const Submission& submission);
  void AcceptJob(ServiceState& service, const Waiter& waiter, const Submission& submission);
  bool AddWaiter(Job& job, const Waiter& waiter, std::uint64_t body_hash);
  void AnswerFromLedger(const TicketLedger& ledger, const Waiter& waiter, const Ticket& ticket,
                        const std::uint64_t* body_hash);
  Result<std::optional<Answer>> LookUpAnswer(const Ticket& ticket);

  // Repeatable jobs (entry_core_repeatable.cc).
  /// Returns why this process cannot answer another job in time, or nothing.
  std::optional<Refusal> CheckRoundTripTime() const;
  void SubmitRepeatable(ServiceState& service, const Waiter& waiter, const Submission& submission);
  /// Logs why a repeatable job is rejected, with the load that decided it.
  void LogRejection(const ServiceState& service, const Submission& submission,
                    const Refusal& refusal);

  // Load (entry_core_load.cc).
  LoadView ComputeLoad(const ServiceState& service, const Submission& submission) const;
  static Microseconds LongestExpectedRun(const ServiceState& service, const Submission& submission);
  static Milliseconds EffectiveDeadline(const ServiceState& service, const Submission& submission);

  // Answers (entry_core_jobs.cc).
  void Deliver(const Waiter& waiter, Answer answer);
  void Refuse(const Waiter& waiter, const Refusal& refusal, const std::optional<Ticket>& ticket);
  void FailJob(Job& job, std::string reason, std::string message, bool stop_running);
  void DropTask(Job& job, std::uint32_t index);
  /// Answers the job if its answer is known. The job may be gone afterwards.
  void TryAnswer(Job& job);
  void AnswerJob(Job& job, Answer answer);
  /// Logs the answer with what decided its time: the task that ended last.
  /// `last` is the task that ended last, or nullptr when none has.
  void LogAnswer(const Job& job, const Answer& answer, const Task* last);
  /// For the metrics.
  void ReportMetrics(const Job& job, const Answer& answer, const Task* last);
  void EndTask(Job& job, std::uint32_t index, JobTaskState state);
  void EraseIfEnded(std::uint64_t job);
  void OnJobDue(std::uint64_t id);
  void FailJobsWithoutAgents(ServiceState& service);
  /// Whether the job's ticket allows the agent. Nobody salvages a repeatable job, so that it may
  /// also use agents that came later.
  static bool MayUse(const Job& job, const Agent& agent);
  bool HasPossibleAgent(const Job& job) const;
  void CountAnswer(const Answer& answer);

  // Starts (entry_core_starts.cc).
  static void QueueTask(ServiceState& service, const Job& job, std::uint32_t index);
  void PlaceTasks(ServiceState& service);
  /// Fails the jobs with a waiting task that can no longer be of use, rather than at their
  /// deadline.
  void FailJobsTooLate(ServiceState& service);
  std::vector<UsableAgent> FindUsableAgents(ServiceState& service);
  bool EvaluateAgent(ServiceState& service, Agent& agent, UsableAgent& usable);
  bool HasCapacity(const ServiceState& service, const Agent& agent) const;
  /// The agent holds nothing of this entry and has not reported its load lately, so a report that
  /// says "full" is not believed any more.
  bool IsReportStale(const ServiceState& service, const Agent& agent) const;
  /// Sends the agent a notice at once. Its answer makes the agent usable again.
  void RequestLivenessCheck(Agent& agent);
  /// Some agent has just been asked for a sign of life. Its answer comes after a round trip and
  /// frees its slots, so until then no task joins the queue of a busy agent.
  bool IsAwaitingLivenessChecks(const ServiceState& service) const;
  PlacementOptions FindPlacementOptions(const ServiceState& service, const Job& job,
                                        const Task& task,
                                        std::span<const UsableAgent> usable) const;
  /// Picks the agent by the placement policy; or, when only cores, memory or accelerators are
  /// missing, the agent whose queue is expected to move soonest.
  std::optional<std::size_t> ChooseAgent(ServiceState& service, const Job& job, const Task& task,
                                         const PlacementOptions& options,
                                         std::uint32_t waiting_ahead);
  PlacementResult Place(ServiceState& service, Job& job, std::uint32_t index,
                        std::vector<UsableAgent>& usable, std::uint32_t waiting_ahead);
  bool MayRetry(ServiceState& service, const Task& task);
  void Assign(ServiceState& service, Job& job, std::uint32_t index, UsableAgent& usable);
  void SendStarts();
  void SendBatch(const StartBatcher::Batch& batch);

  // Settlement of starts (entry_core_settlement.cc).
  void SendWithdrawals();
  void SettleStart(const StartReply& reply, const Incarnation& agent, std::uint64_t sequence,
                   const std::vector<TaskRef>& tasks);
  void OnRefusal(const TaskRef& task, const Incarnation& agent, StartRefusal refusal);
  /// Whether a start of the task would find everything that it declares free.
  bool HasFreeResourcesFor(const TaskRef& task, const Agent& agent);
  void OnProvenNotRun(const TaskRef& task);
  /// Whether the ended run of a repeatable job's task may be followed by another one. `reason` is
  /// empty when the agent was lost.
  bool MayRerun(const Job& job, const Task& task, std::string_view reason) const;
  /// Queues a task whose run has ended for another one.
  void QueueRerun(Job& job, std::uint32_t index);
  void Withdraw(const TaskRef& task, bool stop_running);
  void ApplyOutcome(const Incarnation& agent, const Outcome& outcome);
  void ApplyReport(const WithdrawReplied& event, const TaskReport& report);
  /// Returns the task if this start of it is not settled.
  Task* FindSentTask(const TaskRef& ref, const Incarnation& agent, std::uint64_t sequence);
  void PauseAgent(Agent& agent);

  // Agents (entry_core_agents.cc).
  void RemoveDeadAgents();
  void RemoveAgent(Incarnation agent, bool replaced);
  bool IsLost(const Agent& agent) const;
  void UpdateMembers();
  /// Heartbeat interval that the agent keeps towards this entry.
  Milliseconds HeartbeatInterval(const Agent& agent) const;
  /// The threshold, set for the active relation, as it is for the agent's present relation.
  Time::duration ScaleThreshold(const Agent& agent, Milliseconds threshold) const;
  /// Time without a sign of life, counted from the first start while tasks are outstanding.
  Time::duration SilenceDuration(const Agent& agent) const;
  /// Not heard for the lost time of the active relation: it may be gone or just idle.
  bool NeedsLivenessCheck(const Agent& agent) const;

  // Replies and notices to agents (entry_core_notices.cc).
  /// What an agent is told of this entry. `service` and `agent` may be null.
  AnnounceReply MakeNotice(const ServiceState* service, const Agent* agent) const;
  AnnounceReply MakeAnnounceReply(const ServiceState* service, Agent* agent,
                                  std::uint64_t held_digest);
  void SendNotices();
  bool NeedsNotice(const Agent& agent, const std::vector<Incarnation>& notifying_entries) const;
  /// Entries that share out the agents among them for news that concern every agent.
  std::vector<Incarnation> NotifyingEntries() const;

  // Salvage (entry_core_salvage.cc).
  void StartSalvage(const Waiter& waiter, const Submission& submission, Time deadline);
  void AdvanceSalvages();
  void SendSeals(const Ticket& ticket, Salvage& salvage);
  void FinishSalvage(const Ticket& ticket);

  // Peers (entry_core_peers.cc).
  /// Makes a hello with what the peer at the address does not hold yet.
  Hello MakeHello(const std::string& address) const;
  void AddRoster(const Peer* peer, Hello& hello) const;
  void AddEntriesAndSuccessions(const Peer* peer, Hello& hello) const;
  void SendHellos();
  void BroadcastRosterChange();
  /// Returns false when roster changes in it were left out.
  bool ApplyHello(const Hello& hello);
  /// Whether the peer takes no jobs any more.
  bool HasDeparted(const Peer& peer) const;
  void UpdateQuotas();
  void SubmitWithForeignTicket(ServiceState& service, const Waiter& waiter,
                               const Submission& submission);
  bool TryAnswerForeignTicket(const Waiter& waiter, const Ticket& ticket, std::uint64_t body_hash);
  void AdvanceForwards();
  void AdvanceForward(Forward& forward);
  void SendAnswers();
  bool IsPeerAlive(const Incarnation& entry) const;
  AdoptedLedger* FindAdopted(const Ticket& ticket);

  // Departure (entry_core_departure.cc).
  void AdvanceDeparture();
  void BeginHandOver();
  void ContinueHandOver();
  void ChooseSuccessor();
  /// Whether this entry can be the successor for the ledger.
  bool MayAdopt(const HandOver& message) const;
  void ExpireAdopted(Time::duration retention);
  void AnnounceSuccession();
  bool IsLeaving() const { return this->departure.stage != Departure::Stage::kNone; }

  EntryInfo self;
  EntryGuards guards;
  Random random;
  Time now{};
  bool started = false;
  Time started_at{};
  /// After a pause of this process nothing is declared dead before this time.
  Time grace_until{};
  Time next_periodic_work{};
  Time next_expiry{};
  Time next_notices{};
  std::map<std::string, ServiceState, std::less<>> services;
  PlacementHook placement_override;

  AgentDirectory directory;
  JobTable jobs;
  StartBatcher batcher;
  /// Some withdrawal was asked for since the last round.
  bool withdrawals_due = false;

  /// Tickets of local requests that wait for a job or a salvage.
  /// Submissions with a caller's own key, while the key is being claimed.
  std::map<RequestId, Submission> key_claims;

  PeerTable peers;
  std::uint64_t broadcast_roster = 0;
  Time next_roster_hello{};
  ForwardTable forwards;
  AnswerOutbox outbox;
  std::map<Ticket, SalvagedJob> salvages;
  TicketAnswers salvage_answers;
  /// Of repeatable jobs, for copies of the submission that arrive late.
  RepeatableAnswers repeatable_answers;
  /// Of the starts sent to agents.
  RoundTrips round_trips;
  std::map<std::pair<Incarnation, std::string>, AdoptedLedger> adopted;

  Departure departure;
  EntryCounters counters;
  std::vector<EntryAction> actions;
};

}  // namespace quetzalvale
