// Repeatable jobs: identified by a name from the caller, not recorded in a ticket ledger, and safe
// to submit and run again.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kEntry{1, 1};
constexpr Incarnation kAgent{5, 1};
constexpr Incarnation kOtherAgent{5, 2};
constexpr Milliseconds kDeadline{2000};

class RepeatableJobsTest : public testing::Test {
 protected:
  RepeatableJobsTest() {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = "s";
    configuration->version = 3;
    KindConfiguration kind{"k", 0, kDeadline, Milliseconds(50)};
    kind.attempts = 2;
    configuration->kinds = {kind};
    // The service is not in the settings; it is added when its configuration arrives.
    this->Send(ConfigurationChanged{configuration});
    this->AddAgent(kAgent, "a");
  }

  void Send(const EntryEvent& event) { this->actions = this->core.Handle(this->now, event); }

  void AddAgent(const Incarnation& agent, const std::string& name) {
    Announce announce{agent, name, "s", "dc", name, {}, {}};
    announce.worker.slots = 8;
    announce.load.free_slots = 8;
    announce.load.clock = seconds(500);
    this->Send(AgentAnnounced{99, announce});
  }

  void Submit(RequestId request) {
    Submission submission;
    submission.service = "s";
    submission.name = "00000000000000a1";
    submission.kind = "k";
    submission.tasks.resize(1);
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
    message.outcomes = {Outcome{start.items[0].task, ok, reason, "null", Milliseconds(10)}};
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
  EXPECT_EQ(std::ranges::count_if(this->actions,
                                  [](const EntryAction& action) {
                                    return std::holds_alternative<AnswerCaller>(action);
                                  }),
            2);
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

TEST_F(RepeatableJobsTest, JobContinuesWhileCopyOfRequestWaits) {
  this->Submit(1);
  this->AcceptLastStart();
  this->Submit(2);
  this->Send(CallerDisconnected{1});
  EXPECT_EQ(this->Find<SendWithdraw>(), nullptr);
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
TEST_F(RepeatableJobsTest, StartsCarryTheTimeUntilWhichTheyAreAccepted) {
  this->now += Milliseconds(100);
  this->Submit(1);
  EXPECT_EQ(this->Find<SendStart>()->message.accept_until,
            seconds(500) + Milliseconds(100) + Milliseconds(250));
}

}  // namespace
}  // namespace quetzalvale
