#include "core/agent/agent_core.h"

#include <gtest/gtest.h>

#include "core/agent/outcome_reasons.h"
#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

constexpr int kSlots = 2;
constexpr int kQueue = 2;

class AgentCoreTest : public testing::Test {
 protected:
  AgentCoreTest() : core(MakeIdentity(kSlots), {kOwnerAddress}) {
    this->Handle(EndpointChecked{true});
  }

  std::vector<AgentAction> Handle(const AgentEvent& event, int ms_later = 1) {
    this->now += Milliseconds(ms_later);
    return this->core.Handle(this->now, event);
  }

  std::vector<AgentAction> Start(std::uint64_t sequence, const std::vector<TaskKey>& tasks,
                                 Milliseconds time_left = Milliseconds(10000)) {
    return this->Handle(StartReceived{1, MakeStart(sequence, tasks, time_left)});
  }

  StartReply StartReplyOf(const std::vector<AgentAction>& actions) {
    return Select<ReplyStart>(actions).at(0).reply;
  }

  SealReply Seal(const Ticket& ticket) {
    return Select<ReplySeal>(this->Handle(SealReceived{1, SealRequest{ticket, {7, 7}}}))
        .at(0)
        .reply;
  }

  std::vector<AgentAction> Finish(const TaskKey& task) {
    Outcome outcome{task, true, "", "1", Microseconds(5)};
    return this->Handle(EndpointFinished{task, outcome});
  }

  AgentCore core;
  Time now{std::chrono::seconds(100)};
};

using Decisions = std::vector<StartRefusal>;

TEST_F(AgentCoreTest, StartsQueuesAndRefusesBySlots) {
  const auto actions = this->Start(
      1, {MakeTask(1, 0), MakeTask(1, 1), MakeTask(1, 2), MakeTask(1, 3), MakeTask(1, 4)});
  EXPECT_EQ(Select<StartOnEndpoint>(actions).size(), 2U);
  const StartReply reply = this->StartReplyOf(actions);
  EXPECT_EQ(reply.decisions,
            (Decisions{StartRefusal::kNone, StartRefusal::kNone, StartRefusal::kNone,
                       StartRefusal::kNone, StartRefusal::kBusy}));
  EXPECT_EQ(reply.load.free_slots, 0);
  EXPECT_EQ(reply.load.queued, kQueue);
  const auto next = Select<StartOnEndpoint>(this->Finish(MakeTask(1, 0)));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].task, MakeTask(1, 2));
}

// Many tasks of one job often end within a few milliseconds on one agent. A message for each
// outcome cost the entry more than the job itself.
TEST_F(AgentCoreTest, OutcomesOfOneJobShareAMessage) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1)});
  EXPECT_TRUE(Select<SendOutcomes>(this->Finish(MakeTask(1, 0))).empty());
  const auto sent = Select<SendOutcomes>(this->Finish(MakeTask(1, 1)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].message.outcomes.size(), 2U);
}

// A delayed outcome must not hide free capacity or a failure from the entry for long.
TEST_F(AgentCoreTest, OutcomeWaitsForItsJobOnlyForAShortTime) {
  constexpr int kAfterMaxWait = 20;
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1)});
  this->Finish(MakeTask(1, 0));
  EXPECT_EQ(Select<SendOutcomes>(this->Handle(Tick{}, kAfterMaxWait)).size(), 1U);
}

TEST_F(AgentCoreTest, FailureIsSentAtOnce) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1)});
  const Outcome failed{MakeTask(1, 0), false, "endpoint_failed", "null", Microseconds(5)};
  EXPECT_EQ(Select<SendOutcomes>(this->Handle(EndpointFinished{MakeTask(1, 0), failed})).size(),
            1U);
}

// The repeated message must not be refused as "leaving": the tasks of its first copy are running.
TEST_F(AgentCoreTest, RepeatedStartGetsNoRefusal) {
  this->Start(1, {MakeTask(1)});
  this->Handle(LeaveRequested{});
  const auto actions = this->Start(1, {MakeTask(1)});
  EXPECT_TRUE(this->StartReplyOf(actions).repeated);
  EXPECT_TRUE(this->StartReplyOf(actions).decisions.empty());
  EXPECT_TRUE(Select<StartOnEndpoint>(actions).empty());
}

TEST_F(AgentCoreTest, RefusesWithTheReason) {
  this->Seal(MakeTask(5).ticket);
  EXPECT_EQ(this->StartReplyOf(this->Start(1, {MakeTask(5)})).decisions,
            Decisions{StartRefusal::kSealed});
  EXPECT_EQ(this->StartReplyOf(this->Start(2, {MakeTask(6)}, Milliseconds(0))).decisions,
            Decisions{StartRefusal::kExpired});
  StartRequest foreign = MakeStart(3, {MakeTask(7)});
  foreign.agent = Incarnation{9, 9};
  EXPECT_EQ(this->StartReplyOf(this->Handle(StartReceived{1, foreign})).decisions,
            Decisions{StartRefusal::kWrongIncarnation});
  this->Handle(EndpointChecked{false});
  EXPECT_EQ(this->StartReplyOf(this->Start(3, {MakeTask(7)})).decisions,
            Decisions{StartRefusal::kEndpointDown});
  this->Handle(LeaveRequested{});
  EXPECT_EQ(this->StartReplyOf(this->Start(4, {MakeTask(7)})).decisions,
            Decisions{StartRefusal::kLeaving});
}

TEST_F(AgentCoreTest, WithdrawRemovesQueuedAndReportsTheRest) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1), MakeTask(1, 2)});
  this->Finish(MakeTask(1, 1));
  this->Start(2, {MakeTask(1, 3)});
  WithdrawRequest request{kOwnerId, kAgentId, {}, true};
  for (std::uint32_t index = 0; index < 4; ++index) {
    request.items.push_back(WithdrawItem{index == 3 ? 2U : 1U, MakeTask(1, index)});
  }
  request.items.push_back(WithdrawItem{3, MakeTask(1, 9)});
  const auto actions = this->Handle(WithdrawReceived{1, request});
  const WithdrawReply reply = Select<ReplyWithdraw>(actions).at(0).reply;
  ASSERT_EQ(reply.reports.size(), 5U);
  EXPECT_EQ(reply.reports[0].status, TaskStatus::kRunning);
  EXPECT_EQ(reply.reports[1].status, TaskStatus::kFinished);
  EXPECT_TRUE(reply.reports[1].outcome->ok);
  EXPECT_EQ(reply.reports[2].status, TaskStatus::kRunning);
  EXPECT_EQ(reply.reports[3].status, TaskStatus::kNotRun);
  EXPECT_EQ(reply.reports[4].status, TaskStatus::kNotRun);
  EXPECT_EQ(Select<StopOnEndpoint>(actions).size(), 2U);
  EXPECT_TRUE(this->StartReplyOf(this->Start(3, {MakeTask(1, 9)})).repeated);
}

// The reports of one incarnation say nothing about the tasks of another.
TEST_F(AgentCoreTest, WithdrawForAnotherIncarnationReportsNothing) {
  const WithdrawRequest request{kOwnerId, {9, 9}, {WithdrawItem{1, MakeTask(1)}}, false};
  const auto actions = this->Handle(WithdrawReceived{1, request});
  EXPECT_EQ(Select<ReplyWithdraw>(actions).at(0).reply.agent, kAgentId);
  EXPECT_TRUE(Select<ReplyWithdraw>(actions).at(0).reply.reports.empty());
}

// Otherwise a delayed duplicate of a withdrawal would silently drop the task.
TEST_F(AgentCoreTest, StaleWithdrawDoesNotRemoveLaterStart) {
  const WithdrawRequest stale{kOwnerId, kAgentId, {WithdrawItem{1, MakeTask(1, 2)}}, false};
  this->Handle(WithdrawReceived{1, stale});
  this->Start(2, {MakeTask(1, 0), MakeTask(1, 1), MakeTask(1, 2)});
  this->Handle(WithdrawReceived{1, stale});
  EXPECT_EQ(Select<StartOnEndpoint>(this->Finish(MakeTask(1, 0))).size(), 1U);
}

TEST_F(AgentCoreTest, SealReportsEverythingAndWithdrawsTheQueue) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1), MakeTask(1, 2)});
  this->Finish(MakeTask(1, 0));
  this->Start(2, {MakeTask(1, 3)});
  const SealReply reply = this->Seal(MakeTask(1).ticket);
  EXPECT_FALSE(reply.maybe_started);
  ASSERT_EQ(reply.reports.size(), 4U);
  EXPECT_EQ(reply.reports[0].status, TaskStatus::kFinished);
  EXPECT_EQ(reply.reports[1].status, TaskStatus::kRunning);
  EXPECT_EQ(reply.reports[3].status, TaskStatus::kNotRun);
  EXPECT_TRUE(Select<StartOnEndpoint>(this->Finish(MakeTask(1, 1))).empty());
}

TEST_F(AgentCoreTest, SealAfterDiscardReportsMaybeStarted) {
  this->Start(1, {MakeTask(1)});
  const auto sent = Select<SendOutcomes>(this->Finish(MakeTask(1)));
  ASSERT_EQ(sent.size(), 1U);
  this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1)}, OutcomesReply{kOwnerId, 0}});
  EXPECT_EQ(this->Seal(MakeTask(1).ticket).reports.size(), 1U);
  this->Handle(Tick{}, 600000);
  const SealReply late = this->Seal(MakeTask(1).ticket);
  EXPECT_TRUE(late.maybe_started);
  EXPECT_TRUE(late.reports.empty());
}

// After the process was suspended, the deadline of the queued tasks has passed.
TEST_F(AgentCoreTest, FrozenAgentDoesNotStartExpiredTasks) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1), MakeTask(1, 2)}, Milliseconds(500));
  this->now += Milliseconds(20000);
  const auto actions = this->Finish(MakeTask(1, 0));
  EXPECT_TRUE(Select<StartOnEndpoint>(actions).empty());
  const auto sent = Select<SendOutcomes>(actions);
  ASSERT_EQ(sent.size(), 1U);
  ASSERT_EQ(sent[0].message.outcomes.size(), 2U);
  EXPECT_EQ(sent[0].message.outcomes[1].reason, "expired");
}

TEST_F(AgentCoreTest, RefusalProvesNotRunAndBrokenConnectionDoesNot) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1)});
  const auto lost =
      this->Handle(EndpointFinished{MakeTask(1, 0), Error{ErrorKind::kTimeout, "closed"}});
  EXPECT_EQ(Select<SendOutcomes>(lost).at(0).message.outcomes.at(0).reason, "endpoint_lost");
  EXPECT_EQ(Select<CheckEndpoint>(lost).size(), 1U);
  this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1, 0)}, OutcomesReply{kOwnerId, 0}});
  const auto refused = this->Handle(EndpointRefused{MakeTask(1, 1), "slots"});
  EXPECT_EQ(Select<SendOutcomes>(refused).at(0).message.outcomes.at(0).reason, "not_run");
}

// The outcomes belong to the previous incarnation; its successor cannot acknowledge them.
TEST_F(AgentCoreTest, AnotherIncarnationAcknowledgesNothing) {
  this->Start(1, {MakeTask(1)});
  this->Finish(MakeTask(1));
  const auto actions =
      this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1)}, OutcomesReply{{8, 8}, 0}});
  EXPECT_EQ(Select<SendAnnounce>(actions).size(), 1U);
  EXPECT_TRUE(Select<SendOutcomes>(this->Handle(Tick{}, 60000)).empty());
  EXPECT_EQ(this->Seal(MakeTask(1).ticket).reports.at(0).status, TaskStatus::kFinished);
}

TEST_F(AgentCoreTest, LeavesWhenTasksAndOutcomesAreDone) {
  this->Handle(AnnounceReplied{kOwnerAddress, AnnounceReply()});
  this->Start(1, {MakeTask(1)});
  const auto announced = Select<SendAnnounce>(this->Handle(LeaveRequested{}));
  ASSERT_EQ(announced.size(), 1U);
  EXPECT_TRUE(announced[0].message.load.leaving);
  this->Handle(AnnounceReplied{kOwnerAddress, AnnounceReply()});
  this->Finish(MakeTask(1));
  EXPECT_TRUE(Select<Departed>(this->Handle(Tick{}, 1000)).empty()) << "outcome not acknowledged";
  const auto acknowledged =
      this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1)}, OutcomesReply{kOwnerId, 0}});
  EXPECT_EQ(Select<Departed>(acknowledged).size(), 1U);
  EXPECT_TRUE(Select<Departed>(this->Handle(Tick{}, 1000)).empty()) << "departs once";
}

// Guards against tasks that start on a draining worker once an earlier run ends there, seconds
// after its drain was acknowledged (review/8).
TEST_F(AgentCoreTest, LeavingReturnsQueuedTasksAsNotRunAtOnce) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1), MakeTask(1, 2), MakeTask(1, 3)});
  const auto actions = this->Handle(LeaveRequested{});
  const auto sent = Select<SendOutcomes>(actions);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(sent[0].message.load.leaving);
  ASSERT_EQ(sent[0].message.outcomes.size(), 2U);
  for (std::uint32_t i = 0; i < 2; ++i) {
    EXPECT_EQ(sent[0].message.outcomes[i].task, MakeTask(1, 2 + i));
    EXPECT_EQ(sent[0].message.outcomes[i].reason, kNotRun);
  }
  EXPECT_TRUE(Select<StopOnEndpoint>(actions).empty()) << "runs in progress may end";
  EXPECT_TRUE(Select<StartOnEndpoint>(this->Finish(MakeTask(1, 0))).empty());
  EXPECT_TRUE(Select<StartOnEndpoint>(this->Handle(Tick{}, 1000)).empty());
}

// Accepted, but held back because the worker does not respond: must not start when it responds
// again.
TEST_F(AgentCoreTest, LeavingReturnsTasksThatWaitForTheEndpoint) {
  this->Start(1, {MakeTask(1)});
  this->Start(2, {MakeTask(2), MakeTask(3), MakeTask(4)});
  this->Handle(EndpointRefused{MakeTask(1), "unreachable"});
  const auto sent = Select<SendOutcomes>(this->Handle(LeaveRequested{}));
  const auto acknowledged =
      this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1)}, OutcomesReply{kOwnerId, 0}});
  std::vector<TaskKey> returned;
  for (const auto& batches : {sent, Select<SendOutcomes>(acknowledged)}) {
    for (const auto& batch : batches) {
      for (const Outcome& outcome : batch.message.outcomes) {
        EXPECT_EQ(outcome.reason, kNotRun);
        returned.push_back(outcome.task);
      }
    }
  }
  EXPECT_EQ(returned, (std::vector<TaskKey>{MakeTask(3), MakeTask(4)}));
  EXPECT_TRUE(Select<StartOnEndpoint>(this->Handle(EndpointChecked{true})).empty());
}

// A start that the worker refuses after the leave goes back to its owner and takes no place here.
TEST_F(AgentCoreTest, StartRefusedByTheEndpointIsNotRepeatedWhileLeaving) {
  this->Start(1, {MakeTask(1), MakeTask(2), MakeTask(3)});
  this->Handle(LeaveRequested{});
  this->Handle(OutcomesReplied{kOwnerId, {MakeTask(3)}, OutcomesReply{kOwnerId, 0}});
  const auto refused = this->Handle(EndpointRefused{MakeTask(1), "draining"});
  ASSERT_EQ(Select<SendOutcomes>(refused).size(), 1U);
  EXPECT_EQ(Select<SendOutcomes>(refused)[0].message.outcomes.at(0).reason, kNotRun);
  EXPECT_TRUE(Select<StartOnEndpoint>(refused).empty());
  this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1)}, OutcomesReply{kOwnerId, 0}});
  const auto again = this->Start(2, {MakeTask(1), MakeTask(3)});
  EXPECT_EQ(this->StartReplyOf(again).decisions,
            (Decisions{StartRefusal::kLeaving, StartRefusal::kLeaving}));
}

TEST_F(AgentCoreTest, FetchesNewerConfigurationOnce) {
  AnnounceReply reply;
  reply.configuration_version = 3;
  EXPECT_EQ(Select<FetchConfiguration>(this->Handle(AnnounceReplied{kOwnerAddress, reply})).size(),
            1U);
  EXPECT_TRUE(
      Select<FetchConfiguration>(this->Handle(AnnounceReplied{kOwnerAddress, reply})).empty());
  auto configuration = std::make_shared<ServiceConfiguration>();
  configuration->version = 3;
  this->Handle(AgentConfigurationChanged{configuration});
  configuration = std::make_shared<ServiceConfiguration>();
  configuration->version = 2;
  this->Handle(AgentConfigurationChanged{configuration});
  EXPECT_EQ(this->core.CurrentLoad().configuration_version, 3U) << "versions only increase";
}

StartRequest MakeRepeatable(std::uint64_t sequence, const std::vector<TaskKey>& tasks,
                            Milliseconds time_left) {
  StartRequest request = MakeStart(sequence, tasks, time_left);
  for (StartItem& item : request.items) {
    item.repeatable = true;
  }
  return request;
}

// An agent whose entry was gone for good waited 60 s before it served its next worker (issue 32).
TEST_F(AgentCoreTest, LeavingAgentWaitsForASilentOwnerOnlyAsLongAsRepeatableOutcomesAreOfUse) {
  this->Handle(StartReceived{1, MakeRepeatable(1, {MakeTask(1)}, Milliseconds(10000))});
  this->Handle(LeaveRequested{});
  this->Finish(MakeTask(1));
  this->Handle(AnnounceReplied{kOwnerAddress, Error{ErrorKind::kTimeout, "gone"}});
  this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1)}, Error{ErrorKind::kTimeout, "gone"}});
  EXPECT_TRUE(Select<Departed>(this->Handle(Tick{}, 1490)).empty()) << "its callers still wait";
  // Entries that do not answer get 5 s to learn of the leaving, and late starts 0.5 s to arrive.
  this->Handle(Tick{}, 3510);
  EXPECT_EQ(Select<Departed>(this->Handle(Tick{}, 500)).size(), 1U);
}

// An owner that answers announcements is alive and waits for the outcome.
TEST_F(AgentCoreTest, LeavingAgentWaitsForAnOwnerThatIsHeardFrom) {
  this->Handle(StartReceived{1, MakeRepeatable(1, {MakeTask(1)}, Milliseconds(10000))});
  this->Handle(LeaveRequested{});
  this->Finish(MakeTask(1));
  for (int second = 0; second < 20; ++second) {
    AnnounceReply reply;
    reply.entry.incarnation = kOwnerId;
    const auto actions =
        this->Handle(AnnounceReplied{kOwnerAddress, reply, this->now + Milliseconds(999)}, 1000);
    EXPECT_TRUE(Select<Departed>(actions).empty());
  }
}

// An entry that does not hear this agent repeats its withdrawals and notices, and soon starts the
// tasks elsewhere. While these messages counted as contact, the runs here went on beside the new
// ones behind a link that lost one direction.
TEST_F(AgentCoreTest, WithdrawalsAndNoticesDoNotKeepTheRunsOfAnEntryThatHearsNothing) {
  this->Handle(StartReceived{1, MakeRepeatable(1, {MakeTask(1, 0)}, Milliseconds(5000))});
  std::vector<StopOnEndpoint> stopped;
  AnnounceReply notice;
  notice.entry = {kOwnerId, kOwnerAddress, "dc"};
  const WithdrawRequest withdrawal{kOwnerId, kAgentId, {WithdrawItem{9, MakeTask(9)}}, false};
  for (int i = 0; i < 8 && stopped.empty(); ++i) {
    for (const AgentEvent& event :
         {AgentEvent(WithdrawReceived{2, withdrawal}), AgentEvent(NoticeReceived{3, notice})}) {
      const auto actions = Select<StopOnEndpoint>(this->Handle(event, 50));
      stopped.insert(stopped.end(), actions.begin(), actions.end());
    }
  }
  EXPECT_EQ(stopped.size(), 1U) << "the run must end after the owner's longest silence";
}

// A worker left the stop of a withdrawn run unanswered, and the order was forgotten: the run went
// on beside the one that the caller's second submission had started elsewhere.
TEST_F(AgentCoreTest, WithdrawnRunIsStoppedAgainUntilItHasEnded) {
  this->Handle(StartReceived{1, MakeRepeatable(1, {MakeTask(1)}, Milliseconds(5000))});
  const WithdrawRequest withdrawal{kOwnerId, kAgentId, {WithdrawItem{1, MakeTask(1)}}, true};
  EXPECT_EQ(Select<StopOnEndpoint>(this->Handle(WithdrawReceived{2, withdrawal})).size(), 1U);
  std::size_t stops = 0;
  for (int i = 0; i < 4; ++i) {
    stops += Select<StopOnEndpoint>(this->Handle(Tick{}, 100)).size();
  }
  EXPECT_EQ(stops, 2U) << "one each 200 ms";
  this->Finish(MakeTask(1));
  EXPECT_TRUE(Select<StopOnEndpoint>(this->Handle(Tick{}, 300)).empty());
}

// A withdrawal waited for up to 2 s behind a connection that had gone silent, while heartbeats on
// another one kept the run going beside the second run of the job.
TEST_F(AgentCoreTest, ReplyToAHeartbeatStopsWithdrawnRuns) {
  this->Handle(StartReceived{1, MakeRepeatable(1, {MakeTask(1)}, Milliseconds(5000))});
  AnnounceReply reply;
  reply.entry = {kOwnerId, kOwnerAddress, "dc"};
  reply.withdrawn = {WithdrawItem{1, MakeTask(1)}};
  const auto actions = this->Handle(AnnounceReplied{kOwnerAddress, reply, this->now});
  EXPECT_EQ(Select<StopOnEndpoint>(actions).size(), 1U);
}

// While no stop reaches the worker, only the end of its lease ends the run. A live owner kept the
// lease extended, so the run outlasted the 1,300 ms after which its caller submits again.
TEST_F(AgentCoreTest, LeasesAreNotExtendedWhileAStopHasNoEffect) {
  const auto contact = [this](std::uint64_t sequence) {
    return this->Handle(
        StartReceived{1, MakeRepeatable(sequence, {MakeTask(sequence)}, Milliseconds(5000))});
  };
  contact(1);
  const WithdrawRequest withdrawal{kOwnerId, kAgentId, {WithdrawItem{1, MakeTask(1)}}, true};
  this->Handle(WithdrawReceived{2, withdrawal});
  EXPECT_TRUE(Select<PauseLeases>(contact(2)).empty());
  const auto paused = Select<PauseLeases>(this->Handle(Tick{}, 400));
  ASSERT_EQ(paused.size(), 1U);
  EXPECT_TRUE(paused[0].paused);
  const auto resumed = Select<PauseLeases>(this->Finish(MakeTask(1)));
  ASSERT_EQ(resumed.size(), 1U);
  EXPECT_FALSE(resumed[0].paused);
}

// A reply that waited in this process while it was suspended says nothing about the present: the
// owner was alive when the outcomes were sent.
TEST_F(AgentCoreTest, ReplyCountsAsContactFromTheTimeOfItsRequest) {
  this->Handle(
      StartReceived{1, MakeRepeatable(1, {MakeTask(1, 0), MakeTask(1, 1)}, Milliseconds(5000))});
  const auto sent = Select<SendOutcomes>(this->Finish(MakeTask(1, 0)));
  ASSERT_TRUE(sent.empty()) << "the outcome waits for its sibling";
  const auto later = Select<SendOutcomes>(this->Handle(Tick{}, 30));
  ASSERT_EQ(later.size(), 1U);
  const auto actions = this->Handle(
      OutcomesReplied{kOwnerId, {MakeTask(1, 0)}, OutcomesReply{kOwnerId, 0}, later[0].sent}, 1000);
  EXPECT_EQ(Select<StopOnEndpoint>(actions).size(), 1U);
}

/// Ends a run of the task as failed and returns the outcomes that are sent to its owner.
std::vector<SendOutcomes> FailRun(AgentCore& core, Time* now, const TaskKey& task) {
  *now += Milliseconds(1);
  return Select<SendOutcomes>(
      core.Handle(*now, EndpointFinished{task, FailedOutcome(task, "endpoint_failed")}));
}

StartRequest MakeAttempt(std::uint64_t sequence, std::uint32_t attempt) {
  StartRequest request = MakeRepeatable(sequence, {MakeTask(1)}, Milliseconds(5000));
  request.items[0].attempt = attempt;
  return request;
}

// When one agent was left, the second attempt of a task went to the agent of the first, which
// answered with the outcome of the first. The job was shown as failed after one run.
TEST_F(AgentCoreTest, FailedTaskRunsAgainOnTheSameAgent) {
  this->Handle(StartReceived{1, MakeAttempt(1, 1)});
  const auto sent = FailRun(this->core, &this->now, MakeTask(1));
  ASSERT_EQ(sent.size(), 1U);
  const auto before = this->Handle(StartReceived{2, MakeAttempt(2, 2)});
  EXPECT_EQ(this->StartReplyOf(before).decisions, Decisions{StartRefusal::kBusy})
      << "the first outcome has not been acknowledged yet";
  this->Handle(OutcomesReplied{kOwnerId, {MakeTask(1)}, OutcomesReply{kOwnerId, 0}, this->now});
  const auto actions = this->Handle(StartReceived{3, MakeAttempt(3, 2)});
  EXPECT_EQ(this->StartReplyOf(actions).decisions, Decisions{StartRefusal::kNone});
  EXPECT_TRUE(this->StartReplyOf(actions).outcomes.empty());
  const auto started = Select<StartOnEndpoint>(actions);
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started[0].attempt, 2U);
}

// The agent has the outcome of the first attempt, which says nothing about a second whose start was
// lost.
TEST_F(AgentCoreTest, LostStartOfALaterAttemptIsReportedAsNotRun) {
  this->Handle(StartReceived{1, MakeAttempt(1, 1)});
  FailRun(this->core, &this->now, MakeTask(1));
  const WithdrawRequest withdrawal{kOwnerId, kAgentId, {WithdrawItem{2, MakeTask(1)}}, false};
  const auto actions = this->Handle(WithdrawReceived{2, withdrawal});
  EXPECT_EQ(Select<ReplyWithdraw>(actions).at(0).reply.reports.at(0).status, TaskStatus::kNotRun);
}

// An owner that lost sight of the agent starts the task again while its first run goes on. The
// outcome of that run then ends the attempt that the owner waits for.
TEST_F(AgentCoreTest, RunInProgressServesALaterAttempt) {
  this->Handle(StartReceived{1, MakeAttempt(1, 1)});
  const auto actions = this->Handle(StartReceived{2, MakeAttempt(2, 2)});
  EXPECT_EQ(this->StartReplyOf(actions).decisions, Decisions{StartRefusal::kNone});
  EXPECT_TRUE(Select<StartOnEndpoint>(actions).empty());
  const auto sent = FailRun(this->core, &this->now, MakeTask(1));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].message.outcomes.at(0).channel_sequence, 2U);
}

// A start that waited in the socket of a suspended agent counted as contact when it was read, so
// the runs of an entry that had been killed meanwhile went on for that time longer.
TEST_F(AgentCoreTest, StartCountsAsContactFromTheTimeOfItsDecision) {
  constexpr Milliseconds kAge{200};
  StartRequest request = MakeRepeatable(1, {MakeTask(1)}, Milliseconds(5000));
  request.accept_until = std::chrono::duration_cast<Microseconds>(
      (this->now + Milliseconds(1) - kAge + kStartAcceptWindow).time_since_epoch());
  ASSERT_EQ(Select<StartOnEndpoint>(this->Handle(StartReceived{1, request})).size(), 1U);
  const Milliseconds left = RunWatchdog::kMaxOwnerSilence - kAge;
  const int left_ms = static_cast<int>(left.count());
  EXPECT_TRUE(Select<StopOnEndpoint>(this->Handle(Tick{}, left_ms - 1)).empty());
  EXPECT_EQ(Select<StopOnEndpoint>(this->Handle(Tick{})).size(), 1U);
}

// A start that a process sent after a suspension extended the lease of the worker for an owner that
// had been silent for as long as leases may be extended.
TEST_F(AgentCoreTest, StartMustBeSentWhileItsOwnerCountsAsHeard) {
  StartRequest request = MakeRepeatable(1, {MakeTask(1)}, Milliseconds(5000));
  const Time decided = this->now + Milliseconds(1) - Milliseconds(240);
  request.accept_until =
      std::chrono::duration_cast<Microseconds>((decided + kStartAcceptWindow).time_since_epoch());
  const auto started = Select<StartOnEndpoint>(this->Handle(StartReceived{1, request}));
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started[0].start_before, decided + RunWatchdog::kMaxSilenceForRenewal);
}

TEST_F(AgentCoreTest, StartsOfRepeatableTasksCarryTheTimeUntilWhichTheyMayBeSent) {
  const auto soon = Select<StartOnEndpoint>(
      this->Handle(StartReceived{1, MakeRepeatable(1, {MakeTask(1)}, Milliseconds(100))}));
  ASSERT_EQ(soon.size(), 1U);
  EXPECT_EQ(soon[0].start_before, this->now + Milliseconds(100)) << "the job's deadline";
  const auto late = Select<StartOnEndpoint>(
      this->Handle(StartReceived{2, MakeRepeatable(2, {MakeTask(2)}, Milliseconds(5000))}));
  ASSERT_EQ(late.size(), 1U);
  EXPECT_EQ(late[0].start_before, this->now + Milliseconds(250));
}

// Guards against the pattern of a burst of several kinds: short urgent tasks waited behind long
// ones in the queue of the worker, and were late although the long ones had time.
TEST_F(AgentCoreTest, WaitingTaskWithTheLeastTimeStartsFirst) {
  this->Start(1, {MakeTask(1, 0), MakeTask(1, 1)});
  StartRequest patient = MakeStart(2, {MakeTask(2)});
  patient.items[0].start_within = Milliseconds(500);
  StartRequest urgent = MakeStart(3, {MakeTask(3)});
  urgent.items[0].start_within = Milliseconds(50);
  this->Handle(StartReceived{1, patient});
  this->Handle(StartReceived{1, urgent});
  const auto started = Select<StartOnEndpoint>(this->Finish(MakeTask(1, 0)));
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started[0].task, MakeTask(3));
}

// A connection that goes silent keeps the result of a heartbeat for as long as a call may take. The
// owner's next reply must not have to wait for that, or its runs are given up although it is alive.
TEST_F(AgentCoreTest, HeartbeatIsRepeatedWhileTheLastOneIsUnanswered) {
  auto configuration = std::make_shared<ServiceConfiguration>();
  configuration->version = 3;
  configuration->health.heartbeat = Milliseconds(250);
  this->Handle(AgentConfigurationChanged{configuration});
  this->Handle(AnnounceReplied{kOwnerAddress, AnnounceReply()});
  this->Handle(StartReceived{1, MakeRepeatable(1, {MakeTask(1)}, Milliseconds(5000))});
  std::size_t heartbeats = 0;
  for (int i = 0; i < 6; ++i) {
    heartbeats += Select<SendHeartbeat>(this->Handle(Tick{}, 100)).size();
  }
  EXPECT_EQ(heartbeats, 2U);
}

// An agent without tasks logged nothing, so that its log did not tell whether no work came or no
// entry used it (issue 40).
TEST_F(AgentCoreTest, LogsThatNoEntryUsesIt) {
  AnnounceReply unrecorded;
  unrecorded.entry = {kOwnerId, kOwnerAddress, "dc"};
  unrecorded.known = false;
  const auto logged = [this](const AgentEvent& event, int ms_later) {
    std::string text;
    for (const LogEvent& line : Select<LogEvent>(this->Handle(event, ms_later))) {
      constexpr int kResumedAfterGap = 2023;
      if (line.number != kResumedAfterGap) {
        text += std::to_string(line.number) + " " + line.details + "; ";
      }
    }
    return text;
  };
  EXPECT_EQ(logged(AnnounceReplied{kOwnerAddress, unrecorded, this->now}, 100),
            "2032 entry=" + std::string(kOwnerAddress) + " state=unrecorded; ");
  EXPECT_EQ(logged(Tick{}, 4899), "");
  const std::string details = " unknown=0 silent=0 unrecorded=1 recorded=0 member=0; ";
  EXPECT_EQ(logged(Tick{}, 1), "2033 for_ms=5000" + details);
  EXPECT_EQ(logged(Tick{}, 4999), "") << "at growing intervals";
  EXPECT_EQ(logged(Tick{}, 1), "2033 for_ms=10000" + details);
  AnnounceReply member = unrecorded;
  member.known = member.member = true;
  EXPECT_EQ(logged(AnnounceReplied{kOwnerAddress, member, this->now}, 100),
            "2032 entry=" + std::string(kOwnerAddress) + " state=member; ");
  EXPECT_EQ(logged(Tick{}, 20000).find("2033"), std::string::npos);
}

}  // namespace
}  // namespace quetzalvale
