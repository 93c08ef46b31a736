#include "platform/run_table.h"

#include <gtest/gtest.h>

namespace quetzalvale::platform {
namespace {

using std::chrono::seconds;
using EndState = RunTable::ResolvedRun::EndState;

const Time kStart{seconds(100)};
const TaskKey kKey{Ticket{"s", {1, 1}, 7, 1}, 0};
constexpr char kTask[] = "00000000000000a1.0.0.0";

class RunTableTest : public testing::Test {
 protected:
  RunId BeginRun(std::uint32_t attempt = 1) {
    return {kTask, this->table.BeginRun(kKey, kTask, attempt, kStart)};
  }

  std::vector<RunTable::ResolvedRun> Apply(const WorkerSnapshot& snapshot, Milliseconds after) {
    return this->table.Apply(snapshot, kStart + after, kStart + after + Milliseconds(1));
  }

  static WorkerSnapshot MakeSnapshot(Milliseconds clock, std::vector<RunId> running,
                                     std::vector<EndedRun> ended = {}) {
    return {clock, 0, std::move(running), std::move(ended)};
  }

  RunTable table;
};

TEST_F(RunTableTest, RunNumbersOfATaskAscend) {
  const RunId first = this->BeginRun();
  EXPECT_EQ(first.run, 1U);
  this->table.RejectStart(first);
  EXPECT_EQ(this->BeginRun().run, 2U);
}

// A worker refuses run numbers that an earlier agent has used. Sending the same number again would
// never start the task.
TEST_F(RunTableTest, RenumberedRunKeepsItsTask) {
  const auto renamed = this->table.Renumber(this->BeginRun());
  ASSERT_TRUE(renamed);
  EXPECT_EQ(renamed->run, 2U);
  EXPECT_EQ(this->table.Find(kKey), renamed);
  EXPECT_EQ(this->table.Renumber({kTask, 1}), std::nullopt);
}

TEST_F(RunTableTest, EndedRunsAreReportedOnceWithTheirEndState) {
  const RunId run = this->BeginRun();
  this->table.Confirm(run, kStart);
  const WorkerSnapshot snapshot = MakeSnapshot(Milliseconds(0), {}, {{1, run, RunEnd::kFailed}});
  const auto resolved = this->Apply(snapshot, Milliseconds(50));
  ASSERT_EQ(resolved.size(), 1U);
  EXPECT_EQ(resolved[0].end_state, EndState::kFailed);
  EXPECT_EQ(resolved[0].key, kKey);
  EXPECT_EQ(resolved[0].run_time, Milliseconds(51));
  EXPECT_TRUE(this->Apply(snapshot, Milliseconds(60)).empty());
}

// A snapshot requested before the start does not show the run, which must not count as its end.
TEST_F(RunTableTest, SnapshotFromBeforeTheStartDoesNotEndTheRun) {
  const RunId run = this->BeginRun();
  this->table.Confirm(run, kStart + Milliseconds(10));
  EXPECT_TRUE(this->Apply(MakeSnapshot(Milliseconds(0), {}), Milliseconds(5)).empty());
  const auto resolved = this->Apply(MakeSnapshot(Milliseconds(0), {}), Milliseconds(20));
  ASSERT_EQ(resolved.size(), 1U);
  EXPECT_EQ(resolved[0].end_state, EndState::kInterrupted);
}

// The worker may carry out an unanswered start seconds later. Placing the task elsewhere before the
// deadline has passed on the worker's clock would run it twice.
TEST_F(RunTableTest, RunInDoubtIsResolvedOnlyAfterItsDeadlineOnTheWorkersClock) {
  const RunId run = this->BeginRun();
  this->table.MarkInDoubt(run, Milliseconds(5000), kStart);
  EXPECT_TRUE(this->Apply(MakeSnapshot(Milliseconds(5000), {}), Milliseconds(700)).empty());
  const auto resolved = this->Apply(MakeSnapshot(Milliseconds(5001), {}), Milliseconds(701));
  ASSERT_EQ(resolved.size(), 1U);
  EXPECT_EQ(resolved[0].end_state, EndState::kNotRun);
}

TEST_F(RunTableTest, RunInDoubtThatTheSnapshotShowsIsRunning) {
  const RunId run = this->BeginRun();
  this->table.MarkInDoubt(run, Milliseconds(5000), kStart);
  EXPECT_TRUE(this->Apply(MakeSnapshot(Milliseconds(4000), {run}), Milliseconds(10)).empty());
  EXPECT_TRUE(this->table.TakeInDoubt(kStart + Milliseconds(20)).empty());
}

// After a confirmed stop the worker refuses the run, so a snapshot requested later that does not
// show it proves that it never ran.
TEST_F(RunTableTest, StopResolvesARunInDoubt) {
  const RunId run = this->BeginRun();
  this->table.MarkInDoubt(run, Milliseconds(5000), kStart);
  EXPECT_EQ(this->table.TakeInDoubt(kStart), std::vector<RunId>{run});
  EXPECT_TRUE(this->table.TakeInDoubt(kStart).empty());
  this->table.MarkStopped(run, kStart + Milliseconds(30));
  EXPECT_TRUE(this->Apply(MakeSnapshot(Milliseconds(4000), {}), Milliseconds(20)).empty());
  EXPECT_EQ(this->Apply(MakeSnapshot(Milliseconds(4000), {}), Milliseconds(40)).size(), 1U);
}

// The worker returns a limited number of ended runs at a time. A run missing from a full list may
// be in the next one.
TEST_F(RunTableTest, FullListOfEndedRunsDoesNotProveAbsence) {
  const RunId run = this->BeginRun();
  this->table.Confirm(run, kStart);
  WorkerSnapshot snapshot = MakeSnapshot(Milliseconds(0), {});
  for (std::uint64_t number = 1; number <= 500; ++number) {
    snapshot.ended.push_back({number, {"other", number}, RunEnd::kDone});
  }
  EXPECT_TRUE(this->Apply(snapshot, Milliseconds(50)).empty());
}

// A stop that overtook its start made the worker refuse the start's number as used. The start was
// then sent with a higher number and ran although it had been stopped.
TEST_F(RunTableTest, CancelledStartIsNotRenumbered) {
  const RunId run = this->BeginRun();
  EXPECT_FALSE(this->table.IsStartCancelled(run));
  this->table.CancelStart(run);
  EXPECT_TRUE(this->table.IsStartCancelled(run));
  EXPECT_EQ(this->table.Renumber(run), std::nullopt);
  const auto rejected = this->table.RejectStart(run);
  ASSERT_TRUE(rejected) << "the run stays in the table until its rejection is reported";
  EXPECT_EQ(rejected->end_state, EndState::kNotRun);
}

TEST_F(RunTableTest, MarksAllRunsLostWhenTheWorkerIsGone) {
  this->BeginRun();
  const auto lost = this->table.MarkAllLost(kStart + seconds(1));
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost[0].end_state, EndState::kLost);
  EXPECT_EQ(this->table.Size(), 0U);
}

}  // namespace
}  // namespace quetzalvale::platform
