#include "core/entry/salvage.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

const Ticket kTicket{"s", {1, 1}, 5, 3};
constexpr Incarnation kFirst{2, 1};
constexpr Incarnation kSecond{2, 2};
const Time kStart{std::chrono::seconds(100)};

Salvage MakeSalvage(bool complete, std::size_t tasks = 2) {
  return {kTicket,
          tasks,
          {{kFirst, "a"}, {kSecond, "b"}},
          complete,
          {kStart + Milliseconds(1000), kStart + Milliseconds(5000)}};
}

SealReply MakeSealReply(const Incarnation& agent) {
  SealReply reply;
  reply.agent = agent;
  return reply;
}

TaskReport MakeReport(std::uint32_t index, TaskStatus status, bool ok = true) {
  TaskReport report{{kTicket, index}, status, std::nullopt};
  if (status == TaskStatus::kFinished) {
    report.outcome = Outcome{{kTicket, index}, ok, ok ? "" : "bad", std::to_string(index), {}};
  }
  return report;
}

TEST(SalvageTest, CompletesFromOutcomesAtSeveralAgents) {
  Salvage salvage = MakeSalvage(false);
  EXPECT_EQ(salvage.TakeDue(kStart).size(), 2U);
  SealReply reply = MakeSealReply(kFirst);
  reply.reports = {MakeReport(1, TaskStatus::kFinished)};
  salvage.OnReply(kFirst, reply, kStart);
  EXPECT_FALSE(salvage.Conclude(kStart));
  reply = MakeSealReply(kSecond);
  reply.reports = {MakeReport(0, TaskStatus::kFinished)};
  salvage.OnReply(kSecond, reply, kStart);
  const auto answer = salvage.Conclude(kStart);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, AnswerStatus::kComplete);
  EXPECT_EQ(answer->results, (std::vector<std::string>{"0", "1"}));
}

TEST(SalvageTest, AnswersNotRunOnlyWhenEveryAgentSealedAndNothingWasRecorded) {
  Salvage salvage = MakeSalvage(true);
  salvage.OnReply(kFirst, MakeSealReply(kFirst), kStart);
  EXPECT_FALSE(salvage.Conclude(kStart));
  salvage.OnReply(kSecond, MakeSealReply(kSecond), kStart);
  EXPECT_TRUE(salvage.Conclude(kStart)->not_run);
}

// After the loss of a data centre, callers would otherwise wait again for each of its agents, which
// are declared lost already. An agent that does answer still counts.
TEST(SalvageTest, OneFailedCallIsEnoughForAnAgentDeclaredLost) {
  const Salvage::Limits limits{kStart + Milliseconds(1000), kStart + Milliseconds(5000)};
  for (const bool answers : {false, true}) {
    Salvage salvage(kTicket, 1, {{kFirst, "a", true}}, true, limits);
    EXPECT_EQ(salvage.TakeDue(kStart).size(), 1U);
    EXPECT_FALSE(salvage.Conclude(kStart));
    if (answers) {
      salvage.OnReply(kFirst, MakeSealReply(kFirst), kStart);
    } else {
      salvage.OnReply(kFirst, Error{ErrorKind::kUnreachable, ""}, kStart);
    }
    ASSERT_TRUE(salvage.Conclude(kStart));
    EXPECT_EQ(salvage.Conclude(kStart)->not_run, answers);
  }
}

// In each case one part of the proof is missing. A wrong "not run" would let a caller run the job
// twice.
TEST(SalvageTest, DoesNotAnswerNotRunWithoutProof) {
  Salvage unknown_roster = MakeSalvage(false);
  unknown_roster.OnReply(kFirst, MakeSealReply(kFirst), kStart);
  unknown_roster.OnReply(kSecond, MakeSealReply(kSecond), kStart);
  EXPECT_FALSE(unknown_roster.Conclude(kStart)->not_run);

  Salvage silent = MakeSalvage(true);
  silent.OnReply(kFirst, MakeSealReply(kFirst), kStart);
  EXPECT_FALSE(silent.Conclude(kStart + Milliseconds(999)));
  EXPECT_FALSE(silent.Conclude(kStart + Milliseconds(1000))->not_run);

  Salvage forgotten = MakeSalvage(true);
  SealReply maybe_started_reply = MakeSealReply(kFirst);
  maybe_started_reply.maybe_started = true;
  forgotten.OnReply(kFirst, maybe_started_reply, kStart);
  forgotten.OnReply(kSecond, MakeSealReply(kSecond), kStart);
  EXPECT_FALSE(forgotten.Conclude(kStart)->not_run);

  Salvage replaced = MakeSalvage(true);
  replaced.OnReply(kFirst, MakeSealReply({9, 9}), kStart);
  replaced.OnReply(kSecond, MakeSealReply(kSecond), kStart);
  EXPECT_FALSE(replaced.Conclude(kStart)->not_run);

  Salvage partial = MakeSalvage(true);
  SealReply partial_reply = MakeSealReply(kFirst);
  partial_reply.reports = {MakeReport(0, TaskStatus::kFinished)};
  partial.OnReply(kFirst, partial_reply, kStart);
  partial.OnReply(kSecond, MakeSealReply(kSecond), kStart);
  EXPECT_EQ(partial.Conclude(kStart)->reason, "outcome_unknown");
}

// Outcomes of tasks that still run after the owner has gone must reach the caller.
TEST(SalvageTest, PollsRunningTasksUntilTheDeadline) {
  Salvage salvage = MakeSalvage(true, 1);
  salvage.TakeDue(kStart);
  salvage.OnReply(kSecond, MakeSealReply(kSecond), kStart);
  SealReply reply = MakeSealReply(kFirst);
  reply.reports = {MakeReport(0, TaskStatus::kRunning)};
  salvage.OnReply(kFirst, reply, kStart);
  EXPECT_FALSE(salvage.Conclude(kStart + Milliseconds(4999)));
  EXPECT_TRUE(salvage.TakeDue(kStart).empty());
  EXPECT_EQ(salvage.TakeDue(kStart + Milliseconds(500)).size(), 1U);
  reply.reports = {MakeReport(0, TaskStatus::kFinished)};
  salvage.OnReply(kFirst, reply, kStart + Milliseconds(600));
  EXPECT_EQ(salvage.Conclude(kStart + Milliseconds(600))->status, AnswerStatus::kComplete);
}

TEST(SalvageTest, RetriesLostSealsWithABackoff) {
  Salvage salvage = MakeSalvage(true);
  salvage.TakeDue(kStart);
  salvage.OnReply(kFirst, Error{ErrorKind::kTimeout, ""}, kStart);
  EXPECT_TRUE(salvage.TakeDue(kStart + Milliseconds(50)).empty());
  EXPECT_EQ(salvage.TakeDue(kStart + Milliseconds(100)).size(), 1U);
}

TEST(SalvageTest, ReportsTheTaskThatFailed) {
  Salvage salvage = MakeSalvage(true);
  SealReply reply = MakeSealReply(kFirst);
  reply.reports = {MakeReport(1, TaskStatus::kFinished, false)};
  salvage.OnReply(kFirst, reply, kStart);
  EXPECT_EQ(salvage.Conclude(kStart)->reason, "task_failed");
}

}  // namespace
}  // namespace quetzalvale
