// Repeatable jobs: identified by a name from the caller, not recorded in a ticket ledger, and safe
// to submit and run again.
#include <gtest/gtest.h>

#include <utility>

#include "core/entry/entry_core.h"
#include "tests/support/select_actions.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kEntry{1, 1};
constexpr Incarnation kAgent{5, 1};
constexpr Incarnation kOtherAgent{5, 2};
constexpr Incarnation kPeer{9, 1};
constexpr Milliseconds kDeadline{2000};

class RepeatableJobsTest : public testing::Test {
 protected:
  RepeatableJobsTest() {
    // The service is not in the settings; it is added when its configuration arrives.
    this->Configure(3, {Kind("k", 2)});
    this->AddAgent(kAgent, "a");
  }

  static KindConfiguration Kind(const std::string& name, std::uint32_t attempts) {
    KindConfiguration kind{name, 0, kDeadline, Milliseconds(50)};
    kind.attempts = attempts;
    return kind;
  }

  void Configure(std::uint64_t version, std::vector<KindConfiguration> kinds) {
    this->ConfigureService("s", version, std::move(kinds));
  }

  void ConfigureService(const std::string& service, std::uint64_t version,
                        std::vector<KindConfiguration> kinds = {Kind("k", 2)}) {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = service;
    configuration->version = version;
    configuration->kinds = std::move(kinds);
    configuration->remote_data_factor = 3;
    this->Send(ConfigurationChanged{configuration});
  }

  void Send(const EntryEvent& event) { this->actions = this->core.Handle(this->now, event); }

  void AddAgent(const Incarnation& agent, const std::string& name, const std::string& rack = "",
                std::uint64_t endpoint_incarnation = 0) {
    Announce announce{agent, name, "s", "dc", name, {}, {}};
    announce.labels = {rack};
    announce.endpoint_incarnation = endpoint_incarnation;
    announce.worker.slots = 8;
    announce.load.free_slots = 8;
    announce.load.clock = seconds(500);
    this->Send(AgentAnnounced{99, announce});
  }

  static Submission MakeSubmission(std::size_t tasks) {
    Submission submission;
    submission.service = "s";
    submission.name = "00000000000000a1";
    submission.kind = "k";
    submission.tasks.resize(tasks);
    return submission;
  }

  void Submit(RequestId request, const std::string& data_rack = "",
              std::optional<Time> received = std::nullopt,
              const std::string& name = "00000000000000a1") {
    Submission submission = MakeSubmission(1);
    submission.data_rack = data_rack;
    submission.received = received;
    submission.name = name;
    this->Send(JobSubmitted{request, submission});
  }

  template <typename Action>
  const Action* Find() const {
    for (const EntryAction& action : this->actions) {
      if (const auto* found = std::get_if<Action>(&action)) return found;
    }
    return nullptr;
  }

  const Answer* FindAnswer() const {
    const auto* answer = this->Find<AnswerCaller>();
    return answer == nullptr ? nullptr : &answer->answer;
  }

  /// Lets the agent accept the last start that was sent. Returns that start.
  StartRequest AcceptLastStart() {
    StartRequest start = this->Find<SendStart>()->message;
    StartReply reply;
    reply.agent = start.agent;
    reply.decisions = {StartRefusal::kNone};
    reply.load.free_slots = 7;
    this->Send(StartReplied{start.agent, start.channel_sequence, reply});
    return start;
  }

  void ReportOutcome(const StartRequest& start, bool ok, const std::string& reason = "") {
    OutcomesRequest message;
    message.agent = start.agent;
    message.owner = kEntry;
    message.load.free_slots = 8;
    message.outcomes = {
        Outcome{start.items[0].task, ok, reason, "null", Milliseconds(10), start.channel_sequence}};
    this->Send(OutcomesReceived{96, message});
  }

  Time now{seconds(1000)};
  EntryCore core{{kEntry, "self", "dc"}, {}, {}, 1};
  std::vector<EntryAction> actions;
};

TEST_F(RepeatableJobsTest, AnswersWithoutTicketsAndRepeatsAnswerForCopy) {
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  EXPECT_TRUE(start.items[0].repeatable);
  EXPECT_EQ(start.items[0].attempt, 1U);
  this->ReportOutcome(start, true);
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->status, AnswerStatus::kComplete);
  EXPECT_FALSE(this->FindAnswer()->ticket);
  EXPECT_TRUE(this->FindAnswer()->fresh_tickets.empty());
  this->Submit(2);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->status, AnswerStatus::kComplete);
}

// A second request for a job in progress must not start the job again.
TEST_F(RepeatableJobsTest, CopyWaitsForJobInProgress) {
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  this->Submit(2);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  this->ReportOutcome(start, true);
  EXPECT_EQ(Select<AnswerCaller>(this->actions).size(), 2U);
}

// The runs that a worker failed or lost in a crash ejected the worker that came back at its place,
// which then got one task at a time (found on the path of review/12). After a restart of the agent
// alone, they still count.
TEST_F(RepeatableJobsTest, FailuresOfAnEndpointDoNotEjectItsNextIncarnation) {
  constexpr Incarnation kThirdAgent{5, 3};
  constexpr std::uint64_t kFirst = 71;
  constexpr std::uint64_t kSecond = 72;
  const auto started_tasks = [&] {
    std::size_t tasks = 0;
    for (const SendStart& start : Select<SendStart>(this->actions)) {
      tasks += start.message.items.size();
    }
    return tasks;
  };
  this->AddAgent(kAgent, "a", "", kFirst);
  this->Configure(4, {Kind("k", 1)});
  for (std::uint32_t i = 0; i < ServiceConfiguration().health.eject_after; ++i) {
    this->Submit(1, "", std::nullopt, "00000000000000a" + std::to_string(i));
    this->ReportOutcome(this->AcceptLastStart(), false, "endpoint_failed");
  }
  this->AddAgent(kOtherAgent, "a", "", kFirst);
  for (const char* name : {"00000000000000b1", "00000000000000b2"}) {
    this->Submit(1, "", std::nullopt, name);
    EXPECT_EQ(started_tasks(), 0U) << "the endpoint is ejected";
  }
  this->AddAgent(kThirdAgent, "a", "", kSecond);
  EXPECT_EQ(started_tasks(), 2U);
}

// A job was sought under the service that its queue has now. A copy of one whose queue had been
// moved started its tasks again beside the first (review/14).
TEST_F(RepeatableJobsTest, CopyFindsAJobWhoseQueueWasMoved) {
  this->ConfigureService("t", 4);
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  Submission copy = MakeSubmission(1);
  copy.service = "t";
  this->Send(JobSubmitted{2, copy});
  EXPECT_EQ(this->FindAnswer(), nullptr) << "the copy waits for the job in progress";
  this->ReportOutcome(start, true);
  EXPECT_EQ(Select<AnswerCaller>(this->actions).size(), 2U);
  this->Send(JobSubmitted{3, copy});
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->status, AnswerStatus::kComplete) << "a late copy gets the answer";
}

// Jobs in progress could hold 256 MB, more than the machine of an entry has (review/15).
TEST_F(RepeatableJobsTest, PayloadsOfJobsInProgressAreBounded) {
  EntryLimits limits;
  limits.payload_bytes = 10000;
  this->core = EntryCore({kEntry, "self", "dc"}, {}, {}, 1, {}, limits);
  this->Configure(3, {Kind("k", 2)});
  this->AddAgent(kAgent, "a");
  Submission submission = MakeSubmission(1);
  submission.payload_tail = std::string(4000, 'x');
  const auto submit = [&](RequestId request) {
    submission.name = "00000000000000a" + std::to_string(request);
    this->Send(JobSubmitted{request, submission});
    return this->FindAnswer() == nullptr;
  };
  ASSERT_TRUE(submit(1));
  const StartRequest start = this->AcceptLastStart();
  EXPECT_EQ(start.items[0].spec.payload, "null" + submission.payload_tail);
  EXPECT_TRUE(submit(2));
  ASSERT_FALSE(submit(3));
  EXPECT_EQ(this->FindAnswer()->error, ErrorKind::kOverloaded);
  EXPECT_TRUE(this->FindAnswer()->not_run);
  this->ReportOutcome(start, true);
  EXPECT_TRUE(submit(4)) << "the ended job makes room";
}

// A caller that closed its connection may submit the job to another entry, so the job must not
// continue here.
TEST_F(RepeatableJobsTest, StopsTasksWhenCallerDisconnects) {
  this->Submit(1);
  this->AcceptLastStart();
  this->Send(CallerDisconnected{1});
  const auto* withdraw = this->Find<SendWithdraw>();
  ASSERT_NE(withdraw, nullptr);
  EXPECT_TRUE(withdraw->message.stop_running);
}

// A cancellation was answered "no such job" while the job's runs went on, and a copy of the job
// that arrived later ran.
TEST_F(RepeatableJobsTest, CancelledJobEndsItsRunsAndItsCopyDoesNotRun) {
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  this->Send(NamedJobCancelled{2, "00000000000000a1"});
  const auto* withdraw = this->Find<SendWithdraw>();
  ASSERT_NE(withdraw, nullptr);
  EXPECT_TRUE(withdraw->message.stop_running);
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, kCancelledByRequest);
  WithdrawReply reply;
  reply.agent = kAgent;
  reply.reports = {TaskReport{start.items[0].task, TaskStatus::kRunning, std::nullopt}};
  this->Send(WithdrawReplied{kAgent, withdraw->message.items, reply});
  ASSERT_NE(this->Find<AnswerCaller>(), nullptr) << "the caller that submitted the job";
  EXPECT_EQ(this->Find<AnswerCaller>()->request, 1U);
  EXPECT_EQ(this->FindAnswer()->reason, kCancelledByRequest);
  this->ReportOutcome(start, false, "interrupted");
  this->Submit(3);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, kCancelledByRequest);
}

TEST_F(RepeatableJobsTest, CancellationOfAnUnknownJobSaysSo) {
  this->Send(NamedJobCancelled{1, "00000000000000a1"});
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->error, ErrorKind::kNotFound);
}

// A copy of the submission of a cancelled job arrived at another entry, which knew nothing of the
// cancellation, and ran (review/13).
TEST_F(RepeatableJobsTest, CopyOfAJobCancelledAtAnotherEntryDoesNotRun) {
  this->Send(CancellationsReceived{7, {kPeer, {"00000000000000a1"}}});
  ASSERT_NE(this->Find<ReplyAcknowledgement>(), nullptr);
  EXPECT_TRUE(this->Find<ReplyAcknowledgement>()->reply.accepted);
  this->Submit(1);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, kCancelledByRequest);
  this->Submit(2, "", std::nullopt, "00000000000000a2");
  EXPECT_NE(this->Find<SendStart>(), nullptr) << "another job is not affected";
}

// A cancellation that reached another entry than the one with the job ended nothing.
TEST_F(RepeatableJobsTest, CancellationAtAnotherEntryEndsTheJobHere) {
  this->Submit(1);
  this->AcceptLastStart();
  this->Send(CancellationsReceived{7, {kPeer, {"00000000000000a1"}}});
  const auto* withdraw = this->Find<SendWithdraw>();
  ASSERT_NE(withdraw, nullptr);
  EXPECT_TRUE(withdraw->message.stop_running);
}

// Also of a job that is not here: it may be at another entry.
TEST_F(RepeatableJobsTest, OtherEntriesAreToldOfCancellationsUntilTheyConfirm) {
  Hello hello;
  hello.entry = {kPeer, "peer", "dc"};
  this->Send(HelloReceived{5, hello});
  this->Send(NamedJobCancelled{1, "00000000000000a1"});
  const auto told = [this](Milliseconds later) {
    this->now += later;
    this->Send(Tick{});
    const auto* message = this->Find<SendCancellations>();
    return message == nullptr ? std::vector<std::string>{} : message->message.names;
  };
  const std::vector<std::string> names{"00000000000000a1"};
  EXPECT_EQ(told(Milliseconds(10)), names);
  const SendCancellations first = *this->Find<SendCancellations>();
  EXPECT_EQ(first.to, kPeer);
  this->Send(CancellationsReplied{kPeer, first.last, Error{ErrorKind::kUnreachable, "lost"}});
  EXPECT_EQ(told(Cancellations::kInterval), names) << "sent again";
  // Another process has the peer's address: it confirms nothing for this one.
  this->Send(CancellationsReplied{kPeer, first.last, Acknowledgement{kOtherAgent, true}});
  EXPECT_EQ(told(Cancellations::kInterval), names);
  this->Send(CancellationsReplied{kPeer, first.last, Acknowledgement{kPeer, true}});
  EXPECT_TRUE(told(Cancellations::kInterval).empty());
}

TEST_F(RepeatableJobsTest, JobContinuesWhileCopyOfRequestWaits) {
  this->Submit(1);
  this->AcceptLastStart();
  this->Submit(2);
  this->Send(CallerDisconnected{1});
  EXPECT_EQ(this->Find<SendWithdraw>(), nullptr);
}

// A withdrawal waited for up to 2 s behind a connection that had gone silent. Until the agent
// answers it, the replies to its heartbeats, which come on another connection, tell which tasks to
// stop.
TEST_F(RepeatableJobsTest, RepliesToHeartbeatsNameTasksWhoseStopIsUnanswered) {
  const auto withdrawn = [this] {
    this->Send(HeartbeatReceived{98, {kAgent, {}, 0}});
    return this->Find<ReplyAnnounce>()->reply.withdrawn;
  };
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  EXPECT_TRUE(withdrawn().empty());
  this->Send(CallerDisconnected{1});
  const auto* withdrawal = this->Find<SendWithdraw>();
  ASSERT_NE(withdrawal, nullptr);
  const WithdrawRequest request = withdrawal->message;
  const auto items = withdrawn();
  ASSERT_EQ(items.size(), 1U);
  EXPECT_EQ(items[0].task, start.items[0].task);
  EXPECT_EQ(items[0].channel_sequence, start.channel_sequence);
  WithdrawReply reply;
  reply.agent = kAgent;
  reply.reports = {TaskReport{items[0].task, TaskStatus::kRunning, std::nullopt}};
  this->Send(WithdrawReplied{kAgent, request.items, reply});
  EXPECT_TRUE(withdrawn().empty()) << "the agent remembers the stop";
}

// A new submission of a stopped job must not start it while its earlier runs have not ended.
TEST_F(RepeatableJobsTest, DoesNotRestartStoppedJobBeforeItsRunsHaveEnded) {
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  this->Send(CallerDisconnected{1});
  this->Submit(2);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_FALSE(this->FindAnswer()->not_run);
  this->ReportOutcome(start, false, "interrupted");
  this->Submit(3);
  EXPECT_NE(this->Find<SendStart>(), nullptr);
}

TEST_F(RepeatableJobsTest, StopsTasksAndAnswersImmediatelyAtDeadline) {
  this->Submit(1);
  this->AcceptLastStart();
  this->now += kDeadline;
  this->Send(Tick{});
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, "deadline");
  EXPECT_FALSE(this->FindAnswer()->not_run);
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  EXPECT_TRUE(this->Find<SendWithdraw>()->message.stop_running);
}

// A job whose tasks only waited in queues of agents was answered 504, so its caller could not tell
// that nothing ran. The answer waits for the agents' reports, but not for long.
TEST_F(RepeatableJobsTest, JobThatIsGivenUpIsAnsweredAsNotRunOnceThatIsProven) {
  for (const bool runs : {false, true}) {
    const RequestId request = runs ? 2 : 1;
    this->Submit(request, "", std::nullopt, runs ? "00000000000000a2" : "00000000000000a1");
    const StartRequest start = this->AcceptLastStart();
    WithdrawReply reply;
    reply.agent = kAgent;
    reply.load.free_slots = 8;
    reply.reports = {TaskReport{start.items[0].task,
                                runs ? TaskStatus::kRunning : TaskStatus::kNotRun, std::nullopt}};
    this->Send(JobCancelled{90, start.items[0].task.ticket});
    const auto* withdraw = this->Find<SendWithdraw>();
    ASSERT_NE(withdraw, nullptr);
    EXPECT_EQ(this->FindAnswer(), nullptr);
    this->Send(WithdrawReplied{kAgent, withdraw->message.items, reply});
    ASSERT_NE(this->FindAnswer(), nullptr);
    EXPECT_EQ(this->FindAnswer()->not_run, !runs);
  }
}

TEST_F(RepeatableJobsTest, AnswerOfAJobThatIsGivenUpWaitsOnlyShortlyForProof) {
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  this->Send(JobCancelled{90, start.items[0].task.ticket});
  EXPECT_EQ(this->FindAnswer(), nullptr);
  this->now += Milliseconds(51);
  this->Send(Tick{});
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_FALSE(this->FindAnswer()->not_run);
}

// A job was given up for want of agents while some of its tasks ran on the agent that was leaving.
// The runs went on beside those of the copy that the caller submitted to another entry.
TEST_F(RepeatableJobsTest, StopsRunsOfAJobThatIsGivenUpForWantOfAgents) {
  this->Send(JobSubmitted{1, MakeSubmission(2)});
  const StartRequest start = this->Find<SendStart>()->message;
  ASSERT_EQ(start.items.size(), 2U);
  StartReply reply;
  reply.agent = start.agent;
  reply.decisions = {StartRefusal::kNone, StartRefusal::kLeaving};
  reply.load.free_slots = 7;
  this->Send(StartReplied{start.agent, start.channel_sequence, reply});
  const auto* withdraw = this->Find<SendWithdraw>();
  ASSERT_NE(withdraw, nullptr);
  EXPECT_TRUE(withdraw->message.stop_running);
  ASSERT_EQ(withdraw->message.items.size(), 1U);
  EXPECT_EQ(withdraw->message.items[0].task, start.items[0].task);
  this->now += Milliseconds(51);
  this->Send(Tick{});
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, "no_agents");
  EXPECT_FALSE(this->FindAnswer()->not_run);
}

TEST_F(RepeatableJobsTest, RetriesFailedTaskOnAnotherEndpointUntilAttemptsAreUsedUp) {
  this->AddAgent(kOtherAgent, "b");
  this->Submit(1);
  const StartRequest first = this->AcceptLastStart();
  this->ReportOutcome(first, false, "endpoint_failed");
  EXPECT_EQ(this->FindAnswer(), nullptr);
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  const StartRequest second = this->AcceptLastStart();
  EXPECT_NE(second.agent, first.agent);
  EXPECT_EQ(second.items[0].attempt, 2U);
  this->ReportOutcome(second, false, "endpoint_failed");
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, "task_failed");
}

// The outcome of the first attempt is sent again when its acknowledgement is lost. It counted as
// the end of the second attempt on the same agent, and the job was shown as failed after one run.
TEST_F(RepeatableJobsTest, RepeatedOutcomeOfAnAttemptDoesNotEndTheNext) {
  this->Submit(1);
  const StartRequest first = this->AcceptLastStart();
  this->ReportOutcome(first, false, "endpoint_failed");
  const StartRequest second = this->AcceptLastStart();
  ASSERT_EQ(second.agent, first.agent);
  this->ReportOutcome(first, false, "endpoint_failed");
  EXPECT_EQ(this->FindAnswer(), nullptr);
  this->ReportOutcome(second, false, "endpoint_failed");
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, "task_failed");
}

// A run that was stopped or whose worker was lost is not a failure of the task.
TEST_F(RepeatableJobsTest, InterruptedRunsDoNotCountAsAttempts) {
  this->Submit(1);
  for (int i = 0; i < 5; ++i) {
    const StartRequest start = this->AcceptLastStart();
    this->ReportOutcome(start, false, "interrupted");
    ASSERT_EQ(this->FindAnswer(), nullptr);
    ASSERT_NE(this->Find<SendStart>(), nullptr);
  }
}

// A job of which a task has run must not be reported as not run: the caller might submit it as a
// new job.
TEST_F(RepeatableJobsTest, DoesNotReportNotRunAfterARunHasEnded) {
  this->Submit(1);
  const StartRequest start = this->AcceptLastStart();
  this->Send(AgentAnnounced{99, [] {
                              Announce leaving{kAgent, "a", "s", "dc", "a", {}, {}};
                              leaving.worker.slots = 8;
                              leaving.load.leaving = true;
                              return leaving;
                            }()});
  this->ReportOutcome(start, false, "interrupted");
  this->now += kDeadline;
  this->Send(Tick{});
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_FALSE(this->FindAnswer()->not_run);
}

// A new agent incarnation announces itself only after all runs on its worker have ended, so the
// tasks can safely run again.
TEST_F(RepeatableJobsTest, RunsTasksOfReplacedAgentAgain) {
  this->Submit(1);
  const StartRequest first = this->AcceptLastStart();
  this->AddAgent(kOtherAgent, "a");
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kOtherAgent);
  EXPECT_EQ(this->Find<SendStart>()->message.items[0].task.index, first.items[0].task.index);
}

// A start sent by an entry that then froze may arrive seconds later. The start carries a time limit
// on the agent's clock, after which the agent refuses it.
// Guards against tasks of a leaving agent's queue that wait at the entry. The agent may return them
// before its acceptance of the start has arrived.
TEST_F(RepeatableJobsTest, TaskReturnedByALeavingAgentRunsElsewhereAtOnce) {
  this->Submit(1);
  const StartRequest start = this->Find<SendStart>()->message;
  this->AddAgent(kOtherAgent, "b");
  OutcomesRequest returned;
  returned.agent = kAgent;
  returned.owner = kEntry;
  returned.load.leaving = true;
  returned.outcomes = {Outcome{start.items[0].task, false, "not_run", "null", Microseconds(0),
                               start.channel_sequence}};
  this->Send(OutcomesReceived{96, returned});
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kOtherAgent);
  const StartRequest again = this->AcceptLastStart();
  StartReply late;
  late.agent = kAgent;
  late.decisions = {StartRefusal::kNone};
  late.load.leaving = true;
  this->Send(StartReplied{kAgent, start.channel_sequence, late});
  EXPECT_EQ(this->Find<SendWithdraw>(), nullptr);
  this->ReportOutcome(again, true);
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->status, AnswerStatus::kComplete);
}

TEST_F(RepeatableJobsTest, StartsCarryTheTimeUntilWhichTheyAreAccepted) {
  this->now += Milliseconds(100);
  this->Submit(1);
  EXPECT_EQ(this->Find<SendStart>()->message.accept_until,
            seconds(500) + Milliseconds(100) + Milliseconds(250));
}

// The route of the job is removed between its submission and the end of its first run. The job was
// answered as failed after one of its two attempts.
TEST_F(RepeatableJobsTest, AttemptsHoldWhenTheKindIsRemovedMeanwhile) {
  this->AddAgent(kOtherAgent, "b");
  this->Submit(1);
  const StartRequest first = this->AcceptLastStart();
  this->Configure(4, {Kind("other", 1)});
  this->ReportOutcome(first, false, "endpoint_failed");
  EXPECT_EQ(this->FindAnswer(), nullptr);
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  const StartRequest second = this->AcceptLastStart();
  this->ReportOutcome(second, false, "endpoint_failed");
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, "task_failed");
}

// A version that lowers the number of attempts does not take attempts from a job in progress.
TEST_F(RepeatableJobsTest, AttemptsHoldWhenANewVersionAllowsFewer) {
  this->AddAgent(kOtherAgent, "b");
  this->Submit(1);
  const StartRequest first = this->AcceptLastStart();
  this->Configure(4, {Kind("k", 1)});
  this->ReportOutcome(first, false, "endpoint_failed");
  EXPECT_EQ(this->FindAnswer(), nullptr);
  EXPECT_NE(this->Find<SendStart>(), nullptr);
}

// A run that ends failed at the job's deadline leaves no time for the other attempt. The caller
// must hear that the time was over and not that the job cannot be done.
TEST_F(RepeatableJobsTest, JobWithAttemptsLeftIsNotAnsweredAsFailedAtItsDeadline) {
  this->Submit(1);
  const StartRequest first = this->AcceptLastStart();
  this->now += kDeadline;
  this->ReportOutcome(first, false, "endpoint_failed");
  ASSERT_NE(this->FindAnswer(), nullptr);
  EXPECT_EQ(this->FindAnswer()->reason, "deadline");
  EXPECT_FALSE(this->FindAnswer()->not_run);
}

// The deadline of a job that waited in this process while it was suspended counts from its receipt:
// its caller has submitted it elsewhere by then.
TEST_F(RepeatableJobsTest, DeadlineCountsFromTheReceiptOfTheJob) {
  const Time received = this->now;
  this->now += kDeadline - Milliseconds(100);
  this->Submit(1, "", received);
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Find<SendStart>()->message.items[0].time_left, Milliseconds(100));
  this->now += Milliseconds(200);
  this->Submit(2, "", received);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->FindAnswer(), nullptr);
}

// The agent hears the starts of this entry, which hears nothing of it: a link that lost one
// direction. Its runs end only some time after the last start, so until then they must not be
// started elsewhere.
TEST_F(RepeatableJobsTest, TasksOfASilentAgentAreNotRestartedSoonAfterAStartWasSentToIt) {
  auto configuration = std::make_shared<ServiceConfiguration>();
  configuration->service = "s";
  configuration->version = 9;
  configuration->kinds = {Kind("k", 2)};
  configuration->health.heartbeat = Milliseconds(100);
  configuration->health.agent_lost = Milliseconds(300);
  configuration->health.agent_dead = Milliseconds(1000);
  this->Send(ConfigurationChanged{configuration});
  this->Submit(1);
  this->AcceptLastStart();
  const Time heard = this->now;
  this->now = heard + Milliseconds(280);
  this->Submit(2, "", std::nullopt, "00000000000000a2");
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  this->AddAgent(kOtherAgent, "b");
  Time restarted{};
  while (restarted == Time{} && this->now < heard + kDeadline) {
    this->now += Milliseconds(20);
    this->Send(HeartbeatReceived{98, {kOtherAgent, {.free_slots = 8}, 0}});
    restarted = this->Find<SendStart>() == nullptr ? Time{} : this->now;
  }
  EXPECT_GE(restarted, heard + Milliseconds(1280));
  EXPECT_LT(restarted, heard + Milliseconds(1400));
}

// Guards against the pattern hot_key: tasks ran on any rack and took three times as long there.
TEST_F(RepeatableJobsTest, TasksRunOnTheRackOfTheirData) {
  this->AddAgent(kOtherAgent, "b", "r2");
  for (RequestId request = 1; request <= 5; ++request) {
    this->Submit(request, "r2");
    const auto* start = this->Find<SendStart>();
    ASSERT_NE(start, nullptr);
    EXPECT_EQ(start->message.agent, kOtherAgent);
    this->ReportOutcome(start->message, true);
    this->now += seconds(20);
    this->AddAgent(kAgent, "a");
    this->AddAgent(kOtherAgent, "b", "r2");
  }
}

}  // namespace
}  // namespace quetzalvale
