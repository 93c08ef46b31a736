/// State machine of an entry: turns events into actions and performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/entry/agent_directory.h"
#include "core/entry/answer_outbox.h"
#include "core/entry/answer_store.h"
#include "core/entry/cancellations.h"
#include "core/entry/entry_events.h"
#include "core/entry/entry_guards.h"
#include "core/entry/entry_status.h"
#include "core/entry/evacuations.h"
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

/// Limits of one process, in addition to those of the configuration.
struct EntryLimits {
  /// Payloads of the jobs in progress.
  std::size_t payload_bytes = std::size_t{256} << 20U;
};

/// Event-driven core of an entry. It receives events (requests, replies, the passage of time) and
/// returns the actions that the program has to carry out (messages, answers, log lines). Owns the
/// tickets issued by one entry incarnation and the jobs submitted with them.
///
/// Not thread-safe. Time never goes back: an event time earlier than that of the previous event is
/// replaced by the latter.
class EntryCore {
 public:
  /// `services` are the services known from the settings; further ones are added when their
  /// configuration arrives. `seed_addresses` are the internal addresses of other entries known from
  /// the settings. `seed` initializes the random number generator. `guards` replaces safety checks
  /// in tests.
  EntryCore(EntryInfo self, std::vector<std::string> services,
            std::vector<std::string> seed_addresses, std::uint64_t seed, EntryGuards guards = {},
            const EntryLimits& limits = {});

  /// Processes one event and everything that has become due by `event_time`. Returns the actions
  /// to carry out, in order.
  std::vector<EntryAction> Handle(Time event_time, const EntryEvent& event);

  /// Returns a snapshot for operators. Peers are judged alive or not at `status_time`.
  EntryStatus Status(Time status_time) const;

  /// Replaces the configured placement policy of every service. For tests.
  void SetPlacement(PlacementHook hook);

 private:
  using TicketAnswers = AnswerStore<Ticket>;
  /// The key is the service and the job name, joined by a slash.
  using RepeatableAnswers = AnswerStore<std::string>;

  /// Reason for refusing a submission.
  struct Refusal {
    ErrorKind kind = ErrorKind::kInternal;
    std::string message;
    bool not_run = false;
    /// The load on which the decision was based; empty if the refusal does not depend on load.
    std::optional<LoadView> load{};
    /// Log text with the inputs of the decision of OverloadPolicy; empty if it made none.
    std::string overload_inputs{};
  };

  /// A job being recovered from the agents' records because the ticket's owner is gone.
  struct SalvagedJob {
    Salvage salvage;
    std::uint64_t body_hash = 0;
    std::vector<Waiter> waiters;
  };

  /// Ticket ledger received from an entry that leaves.
  struct AdoptedLedger {
    TicketLedger ledger;
    Time adopted{};
  };

  /// An agent that can take a task now.
  struct UsableAgent {
    Agent* agent = nullptr;
    Candidate candidate;
    /// The endpoint is ejected and due for a probe: the agent takes a single task.
    bool probe = false;
    /// The last load report is too old for its statement that the agent is full to be relied on.
    bool report_stale = false;
    /// The stale report shows no free slot; one is assumed, so that one task tests the agent.
    bool assumes_free_slot = false;
    Resources free;
    /// Share of all usable agents' cores that is free.
    double mean_free_share = 0;
  };

  /// Agents that can take a given task, as indices into the list of usable agents.
  struct PlacementOptions {
    std::vector<std::size_t> positions;
    std::vector<Candidate> candidates;
    /// Indices into `candidates` of those with a free slot that lack cores, memory or accelerators
    /// now.
    std::vector<std::size_t> short_of_resources;
    /// Index of an agent whose ejected endpoint the task may probe.
    std::optional<std::size_t> probe;
    /// Some candidate is near the data of the task.
    bool any_near_data = false;
    bool any_free = false;
  };

  /// Tasks of one job with the same declared resources. If one of them cannot be placed in a
  /// placement round, none of the others can.
  struct TaskClass {
    std::uint64_t job = 0;
    Resources declared;

    bool operator==(const TaskClass&) const = default;
  };

  enum class PlacementResult {
    kPlaced,
    /// The policy decided to keep the task waiting.
    kDeclined,
    /// No agent can take the task now.
    kNoUsableAgent,
    /// The task is a retry and the retry budget is used up.
    kRetryBudgetEmpty
  };

  /// Progress of this entry's graceful departure.
  struct Departure {
    enum class Stage { kNone, kFinishing, kHandingOver, kAnnouncing, kDeparted };
    Stage stage = Stage::kNone;
    /// The ledgers to hand over, split into messages.
    std::vector<HandOver> parts;
    std::size_t next_part = 0;
    bool in_flight = false;
    std::optional<EntryInfo> successor;
    /// Peers that failed or refused a part.
    std::vector<Incarnation> tried;
    /// Earliest time at which a successor is selected again.
    Time next_selection{};
    /// Time limit of the stages kHandingOver and kAnnouncing.
    Time stage_deadline{};
  };

  // One handler per event.
  void On(const JobSubmitted& event);
  void On(const TicketsRequested& event);
  void On(const JobQueried& event);
  void On(const JobCancelled& event);
  void On(const KeyClaimed& event);
  void On(const CallerDisconnected& event);
  void On(const NamedJobCancelled& event);
  void On(const CancellationsReceived& event);
  void On(const CancellationsReplied& event);
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
  void On(const EvacuationsRead& event);
  void On(const LeaveRequested& event);
  void On(const Tick& event);

  // Timers and helpers (entry_core.cc).
  /// Advances the clock, detects pauses of this process and runs what is due.
  void Advance(Time event_time);
  void RunPeriodicWork();
  /// Acts on what the event changed: places tasks and sends batched messages.
  void ProcessPendingWork();
  ServiceState* FindService(std::string_view name);
  const ServiceState* FindService(std::string_view name) const;
  /// Health settings of some configured service; defaults if none is configured.
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
  /// Sets `renews_estimates`, if given, when the job is accepted only for that reason.
  std::optional<Refusal> CheckSubmission(ServiceState& service, const Submission& submission,
                                         bool* renews_estimates = nullptr);
  void AcceptJob(ServiceState& service, const Waiter& waiter, const Submission& submission,
                 bool renews_estimates = false);
  bool AddWaiter(Job& job, const Waiter& waiter, std::uint64_t body_hash);
  void AnswerFromLedger(const TicketLedger& ledger, const Waiter& waiter, const Ticket& ticket,
                        const std::uint64_t* body_hash);
  Result<std::optional<Answer>> LookUpAnswer(const Ticket& ticket);

  // Repeatable jobs (entry_core_repeatable.cc).
  /// Refuses a job if this process is too slow to answer it in time, judged by the round trips of
  /// its starts. Returns nothing otherwise.
  std::optional<Refusal> CheckRoundTripTime() const;
  void SubmitRepeatable(ServiceState& service, const Waiter& waiter, const Submission& submission);
  /// Tells other entries of the cancellations that they do not know yet.
  void TellCancellations();
  /// Logs why a repeatable job is rejected, with the load on which the decision was based.
  void LogRejection(const ServiceState& service, const Submission& submission,
                    const Refusal& refusal);

  // Load (entry_core_load.cc).
  LoadView ComputeLoad(const ServiceState& service, const Submission& submission) const;
  static Microseconds LongestExpectedRun(const ServiceState& service, const Submission& submission);
  static Milliseconds EffectiveDeadline(const ServiceState& service, const Submission& submission);

  // Selection in an overload (entry_core_overload.cc).
  /// Failure reason of a job that was turned away while it waited.
  static constexpr const char* kTurnedAway = "turned_away";
  /// Whether jobs like this one are selected in an overload instead of being checked on arrival
  /// only.
  static bool IsSelecting(const ServiceState& service, const Submission& submission);
  /// Makes a decision that includes the arriving job, unless all jobs fit or one was made only just
  /// now. The job then waits for the next one.
  std::optional<Refusal> CheckOverload(ServiceState& service, const Submission& submission,
                                       const LoadView& load);
  void ClassifyJob(ServiceState& service, Job& job) const;
  /// Turns away waiting jobs if a decision is due.
  void SelectWaitingJobs(ServiceState& service);
  /// Decides, and turns away the jobs that were not selected. Returns the inputs of the decision if
  /// the arriving job is among them.
  std::optional<std::string> SelectJobs(ServiceState& service,
                                        const std::optional<OverloadJob>& arriving);
  /// The jobs that have waiting tasks. From now on they do not await a decision.
  std::vector<OverloadJob> CollectWaitingJobs(const ServiceState& service);
  OverloadCapacity MeasureCapacity(const ServiceState& service) const;
  /// Record what one placement round has placed, and one placed task.
  void RecordPlacements(ServiceState& service) const;
  void RecordPlacement(ServiceState& service, Job& job, const Task& task) const;

  // Answers (entry_core_jobs.cc).
  void Deliver(const Waiter& waiter, Answer answer);
  void Refuse(const Waiter& waiter, const Refusal& refusal, const std::optional<Ticket>& ticket);
  /// Gives the job up. Its running tasks are stopped if `stop_requested` is set or the job is
  /// repeatable.
  void FailJob(Job& job, std::string reason, std::string message, bool stop_requested);
  void DropTask(Job& job, std::uint32_t index);
  /// Answers the job if its answer is known. May delete the job.
  void TryAnswer(Job& job);
  void AnswerJob(Job& job, Answer answer);
  /// Logs the answer with the timing of the task that ended last, which determined the job's
  /// response time. `last` is that task, or nullptr if none has ended.
  void LogAnswer(const Job& job, const Answer& answer, const Task* last);
  void ReportMetrics(const Job& job, const Answer& answer, const Task* last);
  void EndTask(Job& job, std::uint32_t index, JobTaskState state);
  void EraseIfEnded(std::uint64_t job);
  void OnJobDue(std::uint64_t id);
  /// Fails the jobs with waiting tasks that no agent is left to run.
  void FailJobsWithoutAgents(ServiceState& service);
  /// Whether the job may use the agent. A job with a caller's ticket may use only the agents known
  /// when the ticket was issued, because a salvage asks only those. A repeatable job is never
  /// salvaged and may also use newer agents.
  static bool MayUse(const Job& job, const Agent& agent);
  bool HasPossibleAgent(const Job& job) const;
  void CountAnswer(const Answer& answer);

  // Speed and place of runs (entry_core_speed.cc).
  /// Present speed of the agent's worker: what the agent reports, which is seen from the runs of
  /// all entries, or what this entry has learned while the agent reports nothing.
  static double SpeedOf(const ServiceState& service, const Agent& agent);
  /// Multiple of the run time on this agent because the data of the job's tasks is on another rack.
  static double RunFactor(const ServiceState& service, std::string_view data_rack,
                          const Agent& agent);
  /// See StartItem::start_within.
  std::optional<Milliseconds> StartWithin(const ServiceState& service, const Job& job,
                                          const Task& task, const Agent& agent) const;
  /// Whether an agent in service is near the data of the job's tasks.
  bool IsDataServed(const ServiceState& service, const Job& job) const;
  /// Stops tasks on an agent that has become slow, if they can finish in time elsewhere. They are
  /// placed again when their end is confirmed. Tasks that are long themselves are left to finish.
  void MoveTasksIfSlow(Agent& agent);
  bool IsWorthMoving(const ServiceState& service, const Job& job, const Task& task,
                     const Agent& agent) const;

  // Starts (entry_core_starts.cc).
  static void QueueTask(ServiceState& service, const Job& job, std::uint32_t index);
  void PlaceTasks(ServiceState& service);
  /// Fails jobs with a waiting task whose answer would come too late to be of use, without waiting
  /// for their deadline.
  void FailLateJobs(ServiceState& service);
  std::vector<UsableAgent> FindUsableAgents(ServiceState& service);
  /// Fills in `usable` and returns true if the agent can take a task now. Requests a liveness check
  /// if the agent has been silent for too long.
  bool EvaluateAgent(ServiceState& service, Agent& agent, UsableAgent& usable);
  bool HasCapacity(const ServiceState& service, const Agent& agent) const;
  /// Whether the agent holds no tasks of this entry and has not reported its load lately. A stale
  /// report that the agent is full is not relied on.
  bool IsReportStale(const ServiceState& service, const Agent& agent) const;
  /// Schedules an immediate notice to the agent. Its reply makes the agent usable again.
  void RequestLivenessCheck(Agent& agent);
  /// Whether the reply to a recent liveness check is outstanding. It is expected within a round
  /// trip and makes that agent's slots available, so until then no task joins the queue of a busy
  /// agent.
  bool IsAwaitingLivenessChecks(const ServiceState& service) const;
  PlacementOptions FindPlacementOptions(const ServiceState& service, const Job& job,
                                        const Task& task,
                                        std::span<const UsableAgent> usable) const;
  /// Selects an agent by the placement policy. If only cores, memory or accelerators are short,
  /// selects the agent with the shortest expected wait in its queue.
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
  std::vector<WithdrawItem> WithdrawItems(std::span<const TaskRef> tasks) const;
  void SettleStart(const StartReply& reply, const Incarnation& agent, std::uint64_t sequence,
                   const std::vector<TaskRef>& tasks);
  void OnRefusal(const TaskRef& task, const Incarnation& agent, StartRefusal refusal);
  /// Whether the agent has all resources free that the task declares.
  bool HasFreeResourcesFor(const TaskRef& task, const Agent& agent);
  /// The start of the task was proven not to have run: queues the task again, or ends it if the job
  /// has failed.
  void OnProvenNotRun(const TaskRef& task);
  /// Whether a task may run again after a run that ended with `reason`. Only tasks of repeatable
  /// jobs may. `reason` is empty if the agent was lost.
  bool MayRerun(const Job& job, const Task& task, std::string_view reason) const;
  /// Queues a task for another run after its last one has ended.
  void QueueRerun(Job& job, std::uint32_t index);
  /// Schedules a withdrawal of the task from its agent. `stop_running`: stop it if it runs.
  void Withdraw(const TaskRef& task, bool stop_running);
  void ApplyOutcome(const Incarnation& agent, const Outcome& outcome);
  void ApplyReport(const WithdrawReplied& event, const TaskReport& report);
  /// Records the load that an agent reported, and acts on a change of its speed.
  void RecordLoad(const Incarnation& incarnation, const AgentLoad& load);
  /// Returns the task if the start with this agent and sequence is its current one and not settled,
  /// nullptr otherwise.
  Task* FindSentTask(const TaskRef& ref, const Incarnation& agent, std::uint64_t sequence);
  /// Sends the agent no starts for a while, with exponential backoff.
  void PauseAgent(Agent& agent);

  // Evacuation of data centres (entry_core_evacuation.cc).
  /// Returns whether the set of evacuated data centres changed. `source` is for the log.
  bool ApplyEvacuations(const EvacuationSet& read, std::string_view source);
  /// Whether nothing may start on the agent because its data centre is evacuated.
  bool IsEvacuated(const Agent& agent) const;
  /// Queues the agent's tasks that were not sent again, and withdraws those that may not run yet.
  void TakeBackTasks(Agent& agent);
  /// Adds to a message for an agent of the data centre whether it is evacuated.
  void AddEvacuation(std::string_view data_centre, AnnounceReply& reply) const;

  // Agents (entry_core_agents.cc).
  /// Whether the agent is a member that may be sent new tasks at all: it is neither leaving nor in
  /// an evacuated data centre.
  bool TakesStarts(const Agent& agent) const;
  /// Queues a task again whose start was not sent to the agent.
  void ReturnBatched(Agent& agent, const TaskRef& ref);
  void RemoveDeadAgents();
  void RemoveAgent(Incarnation agent, bool replaced);
  bool IsLost(const Agent& agent) const;
  void UpdateMembers();
  /// Interval at which the agent sends heartbeats to this entry.
  Milliseconds HeartbeatInterval(const Agent& agent) const;
  /// Scales a silence threshold, configured for agents with tasks of this entry, to the agent's
  /// current heartbeat interval.
  Time::duration ScaleThreshold(const Agent& agent, Milliseconds threshold) const;
  /// Time since the agent was last heard from or, if later, since the first of its outstanding
  /// tasks was assigned.
  Time::duration SilenceDuration(const Agent& agent) const;
  /// Whether the agent has been silent for agent_lost_ms. It may be gone, or just idle with a
  /// longer heartbeat interval.
  bool NeedsLivenessCheck(const Agent& agent) const;

  // Replies and notices to agents (entry_core_notices.cc).
  /// Makes the information about this entry for an agent. `service` and `agent` may be null.
  AnnounceReply MakeNotice(const ServiceState* service, const Agent* agent) const;
  /// Like MakeNotice, without the list of entries if the agent holds the one with this digest.
  /// Records what the agent is told.
  AnnounceReply MakeAnnounceReply(const ServiceState* service, Agent* agent,
                                  std::uint64_t held_digest);
  void SendNotices();
  bool NeedsNotice(const Agent& agent, const std::vector<Incarnation>& notifying_entries) const;
  /// Entries that divide the agents among them for notices that every agent must get from one
  /// entry.
  std::vector<Incarnation> NotifyingEntries() const;

  // Salvage: recovery of jobs whose entry is gone (entry_core_salvage.cc).
  void StartSalvage(const Waiter& waiter, const Submission& submission, Time deadline);
  void AdvanceSalvages();
  void SendSeals(const Ticket& ticket, Salvage& salvage);
  void FinishSalvage(const Ticket& ticket);

  // Peers (entry_core_peers.cc).
  /// Makes a hello that leaves out what the peer at the address is known to have.
  Hello MakeHello(const std::string& address) const;
  void AddRoster(const Peer* peer, Hello& hello) const;
  void AddEntriesAndSuccessions(const Peer* peer, Hello& hello) const;
  void SendHellos();
  void BroadcastRosterChange();
  /// Takes over the contents of a hello. Returns false if its roster changes were ignored because
  /// earlier ones are missing here.
  bool ProcessHello(const Hello& hello);
  /// Whether the peer no longer accepts jobs.
  bool HasDeparted(const Peer& peer) const;
  void UpdateQuotas();
  void SubmitWithForeignTicket(ServiceState& service, const Waiter& waiter,
                               const Submission& submission);
  /// Answers from salvaged jobs and adopted ledgers. Returns false if neither covers the ticket.
  bool TryAnswerForeignTicket(const Waiter& waiter, const Ticket& ticket, std::uint64_t body_hash);
  void AdvanceForwards();
  /// Sends the forward if needed; ends it, or starts a salvage, if the owner is gone.
  void AdvanceForward(Forward& forward);
  void SendAnswers();
  bool IsPeerAlive(const Incarnation& entry) const;
  /// Returns the completely received ledger that holds the ticket, or nullptr.
  AdoptedLedger* FindAdopted(const Ticket& ticket);

  // Departure (entry_core_departure.cc).
  void AdvanceDeparture();
  void BeginHandOver();
  void ContinueHandOver();
  void ChooseSuccessor();
  /// Whether this entry accepts the ledger as successor of its owner.
  bool MayAdopt(const HandOver& message) const;
  void ExpireAdopted(Time::duration retention);
  void AnnounceSuccession();
  bool IsLeaving() const { return this->departure.stage != Departure::Stage::kNone; }

  EntryInfo self;
  EntryGuards guards;
  EntryLimits limits;
  Random random;
  Time now{};
  bool started = false;
  Time started_at{};
  /// Set after a pause of this process: no agent or peer is declared dead before this time.
  Time grace_until{};
  Time next_periodic_work{};
  Time next_expiry{};
  Time next_notices{};
  std::map<std::string, ServiceState, std::less<>> services;
  PlacementHook placement_override;

  AgentDirectory directory;
  Evacuations evacuations;
  JobTable jobs;
  StartBatcher batcher;
  /// Withdrawals have to be checked after this event: one was added or the timer fired.
  bool withdrawals_due = false;

  /// Submissions with a caller's own key, while the key is being claimed.
  std::map<RequestId, Submission> key_claims;

  PeerTable peers;
  /// Roster number at the last hello that was sent because of a roster change.
  std::uint64_t broadcast_roster = 0;
  Time next_roster_hello{};
  ForwardTable forwards;
  AnswerOutbox outbox;
  std::map<Ticket, SalvagedJob> salvages;
  /// Answers of completed salvages.
  TicketAnswers salvage_answers;
  /// Answers of repeatable jobs, for copies of the submission that arrive late.
  RepeatableAnswers repeatable_answers;
  /// Cancelled repeatable jobs, which must not run.
  Cancellations cancellations;
  /// Round trips of the starts sent to agents.
  RoundTrips round_trips;
  /// By former owner and service.
  std::map<std::pair<Incarnation, std::string>, AdoptedLedger> adopted;

  Departure departure;
  EntryCounters counters;
  std::vector<EntryAction> actions;
};

}  // namespace quetzalvale
