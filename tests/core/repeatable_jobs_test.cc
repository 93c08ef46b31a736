// Jobs that the caller names and may submit again, of which nothing is kept.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kSelf{1, 1};
constexpr Incarnation kAgent{5, 1};
constexpr Incarnation kOther{5, 2};
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
    // The service is not in the settings: the configuration brings it.
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

  const Answer* Answered() const {
    const auto* answer = this->Find<AnswerCaller>();
    return answer == nullptr ? nullptr : &answer->answer;
  }

  /// The agent accepts the start that was sent last.
  StartRequest Accept() {
    StartRequest start = this->Find<SendStart>()->message;
    StartReply reply;
    reply.agent = start.agent;
    reply.decisions = {StartRefusal::kNone};
    reply.load.free_slots = 7;
    this->Send(StartReplied{start.agent, start.channel_sequence, reply});
    return start;
  }

  void End(const StartRequest& start, bool ok, const std::string& reason = "") {
    OutcomesRequest message;
    message.agent = start.agent;
    message.owner = kSelf;
    message.load.free_slots = 8;
    message.outcomes = {Outcome{start.items[0].task, ok, reason, "null", Milliseconds(10)}};
    this->Send(OutcomesReceived{96, message});
  }

  Time now{seconds(1000)};
  EntryCore core{{kSelf, "self", "dc"}, {}, {}, 1};
  std::vector<EntryAction> actions;
};

TEST_F(RepeatableJobsTest, AnswersWithoutTicketsAndAgainForACopy) {
  this->Submit(1);
  const StartRequest start = this->Accept();
  EXPECT_TRUE(start.items[0].repeatable);
  EXPECT_EQ(start.items[0].attempt, 1U);
  this->End(start, true);
  ASSERT_NE(this->Answered(), nullptr);
  EXPECT_EQ(this->Answered()->status, AnswerStatus::kComplete);
  EXPECT_FALSE(this->Answered()->ticket);
  EXPECT_TRUE(this->Answered()->fresh_tickets.empty());
  this->Submit(2);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->Answered(), nullptr);
  EXPECT_EQ(this->Answered()->status, AnswerStatus::kComplete);
}

// Two requests for the same job in progress must not start it twice.
TEST_F(RepeatableJobsTest, CopyWaitsForTheJobInProgress) {
  this->Submit(1);
  const StartRequest start = this->Accept();
  this->Submit(2);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  this->End(start, true);
  EXPECT_EQ(std::ranges::count_if(this->actions,
                                  [](const EntryAction& action) {
                                    return std::holds_alternative<AnswerCaller>(action);
                                  }),
            2);
}

// A caller that closed its connection may submit to another entry, so nothing may go on here.
TEST_F(RepeatableJobsTest, TasksAreStoppedWhenTheCallerIsGone) {
  this->Submit(1);
  this->Accept();
  this->Send(CallerDisconnected{1});
  const auto* withdraw = this->Find<SendWithdraw>();
  ASSERT_NE(withdraw, nullptr);
  EXPECT_TRUE(withdraw->message.stop_running);
}

TEST_F(RepeatableJobsTest, JobGoesOnWhileACopyOfTheRequestWaits) {
  this->Submit(1);
  this->Accept();
  this->Submit(2);
  this->Send(CallerDisconnected{1});
  EXPECT_EQ(this->Find<SendWithdraw>(), nullptr);
}

// While the runs of a stopped job have not ended, another submission must not start it again.
TEST_F(RepeatableJobsTest, StoppedJobIsNotStartedAgainBeforeItsRunsHaveEnded) {
  this->Submit(1);
  const StartRequest start = this->Accept();
  this->Send(CallerDisconnected{1});
  this->Submit(2);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->Answered(), nullptr);
  EXPECT_FALSE(this->Answered()->not_run);
  this->End(start, false, "interrupted");
  this->Submit(3);
  EXPECT_NE(this->Find<SendStart>(), nullptr);
}

TEST_F(RepeatableJobsTest, TasksAreStoppedAtTheDeadlineAndTheAnswerComesAtOnce) {
  this->Submit(1);
  this->Accept();
  this->now += kDeadline;
  this->Send(Tick{});
  ASSERT_NE(this->Answered(), nullptr);
  EXPECT_EQ(this->Answered()->reason, "deadline");
  EXPECT_FALSE(this->Answered()->not_run);
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  EXPECT_TRUE(this->Find<SendWithdraw>()->message.stop_running);
}

TEST_F(RepeatableJobsTest, FailedTaskRunsAgainOnAnotherEndpointUntilItsAttemptsAreUsed) {
  this->AddAgent(kOther, "b");
  this->Submit(1);
  const StartRequest first = this->Accept();
  this->End(first, false, "endpoint_failed");
  EXPECT_EQ(this->Answered(), nullptr);
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  const StartRequest second = this->Accept();
  EXPECT_NE(second.agent, first.agent);
  EXPECT_EQ(second.items[0].attempt, 2U);
  this->End(second, false, "endpoint_failed");
  ASSERT_NE(this->Answered(), nullptr);
  EXPECT_EQ(this->Answered()->reason, "task_failed");
}

// Runs that were stopped or whose worker was lost say nothing about the task.
TEST_F(RepeatableJobsTest, InterruptedRunsUseNoAttempts) {
  this->Submit(1);
  for (int i = 0; i < 5; ++i) {
    const StartRequest start = this->Accept();
    this->End(start, false, "interrupted");
    ASSERT_EQ(this->Answered(), nullptr);
    ASSERT_NE(this->Find<SendStart>(), nullptr);
  }
}

// A job whose task has run is never said not to have run: its caller might submit it as new.
TEST_F(RepeatableJobsTest, JobWithAnEndedRunIsNotCalledNotRun) {
  this->Submit(1);
  const StartRequest start = this->Accept();
  this->Send(AgentAnnounced{99, [] {
                              Announce leaving{kAgent, "a", "s", "dc", "a", {}, {}};
                              leaving.worker.slots = 8;
                              leaving.load.leaving = true;
                              return leaving;
                            }()});
  this->End(start, false, "interrupted");
  this->now += kDeadline;
  this->Send(Tick{});
  ASSERT_NE(this->Answered(), nullptr);
  EXPECT_FALSE(this->Answered()->not_run);
}

// The new incarnation announces itself only when nothing runs on its worker any more.
TEST_F(RepeatableJobsTest, TasksOfAReplacedAgentRunAgain) {
  this->Submit(1);
  const StartRequest first = this->Accept();
  this->AddAgent(kOther, "a");
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kOther);
  EXPECT_EQ(this->Find<SendStart>()->message.items[0].task.index, first.items[0].task.index);
}

// A start written by a frozen entry may arrive seconds later; the agent refuses it by its own
// clock.
TEST_F(RepeatableJobsTest, StartsNameTheTimeUntilWhichTheyAreAccepted) {
  this->now += Milliseconds(100);
  this->Submit(1);
  EXPECT_EQ(this->Find<SendStart>()->message.accept_until,
            seconds(500) + Milliseconds(100) + Milliseconds(250));
}

}  // namespace
}  // namespace quetzalvale
