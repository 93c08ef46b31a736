#include "load/caller_answer.h"

#include <gtest/gtest.h>

#include "load/journal.h"
#include "load/message_counts.h"

namespace quetzalvale {
namespace {

const std::vector<std::string> kEchoes{"e0", "e1"};

CallerAnswer Read(std::string_view body, int status = 200) {
  return ReadCallerAnswer(status, body, kEchoes);
}

TEST(CallerAnswerTest, AcceptsExactlyItsOwnOutcomes) {
  const auto answer = Read(R"({"status": "complete", "outcomes": [{"result": "e0"},
      {"result": "e1"}], "tickets": ["t"]})");
  EXPECT_EQ(answer.status, CallerStatus::kComplete);
  EXPECT_EQ(answer.violation, "");
  EXPECT_EQ(answer.tickets, std::vector<std::string>{"t"});
}

// Each of these is a broken guarantee that must not pass as a complete answer.
TEST(CallerAnswerTest, CountsWrongOutcomesAsViolations) {
  for (const char* outcomes :
       {R"([{"result": "e1"}, {"result": "e0"}])", R"([{"result": "e0"}])", "[]", "null",
        R"([{"result": "e0"}, {"result": "other"}])", R"([{"result": "e0"}, "e1"])"}) {
    EXPECT_NE(
        Read(R"({"status": "complete", "outcomes": )" + std::string(outcomes) + "}").violation, "")
        << outcomes;
  }
  EXPECT_NE(Read(R"({"status": "failed", "reason": "deadline", "outcomes": []})").violation, "");
}

TEST(CallerAnswerTest, ReadsFailuresAndRefusals) {
  const auto failed = Read(R"({"status": "failed", "reason": "deadline", "not_run": false})");
  EXPECT_EQ(failed.status, CallerStatus::kFailed);
  EXPECT_EQ(failed.reason, "deadline");
  EXPECT_FALSE(failed.not_run);
  const auto refused = Read(R"({"status": "refused", "error": "quota", "not_run": true})", 429);
  EXPECT_EQ(refused.status, CallerStatus::kRefused);
  EXPECT_EQ(refused.reason, "quota");
  EXPECT_TRUE(refused.not_run);
}

TEST(CallerAnswerTest, NamesWhatIsNoAnswer) {
  EXPECT_EQ(Read("", 0).reason, "unreachable");
  EXPECT_EQ(Read("<html>", 502).reason, "http_502");
  EXPECT_EQ(Read("{}", 202).status, CallerStatus::kNoAnswer);
}

TEST(JournalTest, CountsDoubleStartsAcrossEndpoints) {
  Journal journal;
  EXPECT_TRUE(IsOk(journal.Add(R"({"starts": [{"task": "t~1/0"}, {"task": "t~1/1"}]})")));
  EXPECT_TRUE(IsOk(journal.Add(R"({"starts": [{"task": "t~1/0"}, {"task": "t~12/0"}]})")));
  EXPECT_EQ(journal.Tasks(), 3U);
  EXPECT_EQ(journal.DoubleStarts(), 1U);
  EXPECT_EQ(journal.RanThoughNotRun({"t~1"}), 2U);
  EXPECT_EQ(journal.RanThoughNotRun({"t~2", ""}), 0U);
}

// An unreadable journal must not count as an empty one.
TEST(JournalTest, RefusesWhatIsNoJournal) {
  Journal journal;
  EXPECT_FALSE(IsOk(journal.Add("{}")));
  EXPECT_FALSE(IsOk(journal.Add(R"({"starts": [{}]})")));
}

TEST(MessageTallyTest, CountsOnlyTheRunsMessages) {
  MessageTally tally;
  tally.Before("a", MessageCounts::Parse("# TYPE quetzalvale_messages_sent_total counter\n"
                                         "quetzalvale_messages_sent_total 10\n"
                                         "quetzalvale_messages_useful_total 8\n"));
  tally.Before("b", {500, 400});
  tally.After("a", MessageCounts::Parse("x{kind=\"a b\"} 1\nquetzalvale_messages_sent_total 30\n"
                                        "quetzalvale_messages_useful_total 20\n"));
  // The process at b started anew, so all that it counted belongs to the run.
  tally.After("b", {7, 5});
  EXPECT_EQ(tally.Total().sent, 27);
  EXPECT_EQ(tally.Total().useful, 17);
}

}  // namespace
}  // namespace quetzalvale
