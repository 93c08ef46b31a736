#include "platform/run_table.h"

#include <gtest/gtest.h>

namespace quetzalvale::platform {
namespace {

using std::chrono::seconds;
using How = RunTable::Settled::How;

const Time kStart{seconds(100)};
const TaskKey kKey{Ticket{"s", {1, 1}, 7, 1}, 0};
constexpr char kTask[] = "00000000000000a1.0.0.0";

class RunTableTest : public testing::Test {
 protected:
  RunName Begin(std::uint32_t attempt = 1) {
    return {kTask, this->table.Begin(kKey, kTask, attempt, kStart)};
  }

  std::vector<RunTable::Settled> Apply(const WorkerLists& lists, Milliseconds after) {
    return this->table.Apply(lists, kStart + after, kStart + after + Milliseconds(1));
  }

  static WorkerLists Lists(Milliseconds clock, std::vector<RunName> running,
                           std::vector<EndedRun> ended = {}) {
    return {clock, 0, std::move(running), std::move(ended)};
  }

  RunTable table;
};

TEST_F(RunTableTest, NumbersOfATaskRise) {
  const RunName first = this->Begin();
  EXPECT_EQ(first.run, 1U);
  this->table.Refuse(first);
  EXPECT_EQ(this->Begin().run, 2U);
}

// A worker refuses the numbers that an earlier agent used up; the same number again would never
// start.
TEST_F(RunTableTest, RenumberedRunKeepsItsTask) {
  const auto renamed = this->table.Renumber(this->Begin());
  ASSERT_TRUE(renamed);
  EXPECT_EQ(renamed->run, 2U);
  EXPECT_EQ(this->table.Find(kKey), renamed);
  EXPECT_EQ(this->table.Renumber({kTask, 1}), std::nullopt);
}

TEST_F(RunTableTest, EndsAreReportedOnceWithTheirKind) {
  const RunName run = this->Begin();
  this->table.Confirm(run, kStart);
  const WorkerLists lists = Lists(Milliseconds(0), {}, {{1, run, RunEnd::kFailed}});
  const auto settled = this->Apply(lists, Milliseconds(50));
  ASSERT_EQ(settled.size(), 1U);
  EXPECT_EQ(settled[0].how, How::kFailed);
  EXPECT_EQ(settled[0].key, kKey);
  EXPECT_EQ(settled[0].run_time, Milliseconds(51));
  EXPECT_TRUE(this->Apply(lists, Milliseconds(60)).empty());
}

// Lists that were asked for before the start say nothing about it.
TEST_F(RunTableTest, OldListsDoNotEndARun) {
  const RunName run = this->Begin();
  this->table.Confirm(run, kStart + Milliseconds(10));
  EXPECT_TRUE(this->Apply(Lists(Milliseconds(0), {}), Milliseconds(5)).empty());
  const auto settled = this->Apply(Lists(Milliseconds(0), {}), Milliseconds(20));
  ASSERT_EQ(settled.size(), 1U);
  EXPECT_EQ(settled[0].how, How::kInterrupted);
}

// An order that was not answered may be carried out seconds later. To place the task elsewhere
// before the worker's clock has passed its deadline would run it twice.
TEST_F(RunTableTest, RunInDoubtIsNotRunOnlyAfterItsDeadlineOnTheWorkersClock) {
  const RunName run = this->Begin();
  this->table.Doubt(run, Milliseconds(5000), kStart);
  EXPECT_TRUE(this->Apply(Lists(Milliseconds(5000), {}), Milliseconds(700)).empty());
  const auto settled = this->Apply(Lists(Milliseconds(5001), {}), Milliseconds(701));
  ASSERT_EQ(settled.size(), 1U);
  EXPECT_EQ(settled[0].how, How::kNotRun);
}

TEST_F(RunTableTest, RunInDoubtThatTheListsShowGoesOn) {
  const RunName run = this->Begin();
  this->table.Doubt(run, Milliseconds(5000), kStart);
  EXPECT_TRUE(this->Apply(Lists(Milliseconds(4000), {run}), Milliseconds(10)).empty());
  EXPECT_TRUE(this->table.TakeDoubtful(kStart + Milliseconds(20)).empty());
}

// After a confirmed stop the worker refuses the run, so lists asked for later prove that it never
// ran.
TEST_F(RunTableTest, StopSettlesARunInDoubt) {
  const RunName run = this->Begin();
  this->table.Doubt(run, Milliseconds(5000), kStart);
  EXPECT_EQ(this->table.TakeDoubtful(kStart), std::vector<RunName>{run});
  EXPECT_TRUE(this->table.TakeDoubtful(kStart).empty());
  this->table.NoteStopped(run, kStart + Milliseconds(30));
  EXPECT_TRUE(this->Apply(Lists(Milliseconds(4000), {}), Milliseconds(20)).empty());
  EXPECT_EQ(this->Apply(Lists(Milliseconds(4000), {}), Milliseconds(40)).size(), 1U);
}

// The worker returns ends in portions; a run that is missing from a full one may be in the next.
TEST_F(RunTableTest, FullListOfEndsProvesNothing) {
  const RunName run = this->Begin();
  this->table.Confirm(run, kStart);
  WorkerLists lists = Lists(Milliseconds(0), {});
  for (std::uint64_t number = 1; number <= 500; ++number) {
    lists.ended.push_back({number, {"other", number}, RunEnd::kDone});
  }
  EXPECT_TRUE(this->Apply(lists, Milliseconds(50)).empty());
}

TEST_F(RunTableTest, LosesAllWhenTheWorkerIsGone) {
  this->Begin();
  const auto lost = this->table.LoseAll(kStart + seconds(1));
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost[0].how, How::kLost);
  EXPECT_EQ(this->table.Size(), 0U);
}

}  // namespace
}  // namespace quetzalvale::platform
