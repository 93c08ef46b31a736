#include "core/policy/start_wait.h"

#include <gtest/gtest.h>

#include "core/policy/answer_target.h"

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;

CapacityView Capacity(double free_runs, double own_runs, milliseconds queued = milliseconds(0)) {
  return {free_runs, own_runs, milliseconds(100), queued};
}

// Guards against counting running tasks as a wait while there is capacity for all new ones. On a
// fleet that was busy but not full, this rejected a fifth of the short jobs in a day.
TEST(ExpectedWaitTest, RunningTasksCauseNoWaitWhileThereIsCapacity) {
  EXPECT_EQ(ExpectedWait(Capacity(8, 100), 8), Microseconds(0));
  EXPECT_EQ(ExpectedWait(Capacity(12, 100, milliseconds(300)), 8), Microseconds(0));
}

// In a burst, tasks beyond the free capacity start as this entry's own tasks finish.
TEST(ExpectedWaitTest, TasksWithoutCapacityWaitForOwnTasksToFinish) {
  EXPECT_EQ(ExpectedWait(Capacity(0, 10), 5), milliseconds(50));
  EXPECT_EQ(ExpectedWait(Capacity(0, 10, milliseconds(1000)), 5), milliseconds(150));
  EXPECT_EQ(ExpectedWait(Capacity(3, 10, milliseconds(1000)), 5), milliseconds(120));
}

TEST(ExpectedWaitTest, EntryWithoutRunsWaitsForOneAtATime) {
  EXPECT_EQ(ExpectedWait(Capacity(0, 0), 2), milliseconds(200));
}

TEST(WaitAcceptableTest, SlackOfTheTargetDecides) {
  EXPECT_TRUE(IsWaitAcceptable(milliseconds(100), milliseconds(160), milliseconds(80)));
  EXPECT_FALSE(IsWaitAcceptable(milliseconds(101), milliseconds(160), milliseconds(80)));
}

// Guards against rejecting large jobs because their declared run time alone exceeds the target. The
// largest tenth of the jobs would then never be served.
TEST(WaitAcceptableTest, LongDeclarationsAreNotRejectedWhileNothingWaits) {
  EXPECT_TRUE(IsWaitAcceptable(milliseconds(0), milliseconds(1480), milliseconds(2500)));
  EXPECT_TRUE(IsWaitAcceptable(milliseconds(148), milliseconds(1480), milliseconds(2500)));
  EXPECT_FALSE(IsWaitAcceptable(milliseconds(149), milliseconds(1480), milliseconds(2500)));
}

TEST(AnswerTargetTest, GrowsWithTheLongestTaskUpToTheDeadline) {
  KindConfiguration kind;
  kind.target_stretch = 1.6;
  kind.target_slack = milliseconds(60);
  kind.late_factor = 3;
  const Time start{std::chrono::seconds(5)};
  const AnswerTarget target = TargetOf(kind, milliseconds(100), start, start + milliseconds(500));
  EXPECT_EQ(target.on_time, start + milliseconds(220));
  EXPECT_EQ(target.useful_until, start + milliseconds(500));
  const StartSchedule schedule = ScheduleOf(target, milliseconds(100));
  EXPECT_EQ(schedule.latest_on_time, start + milliseconds(145));
  EXPECT_EQ(schedule.latest_useful, start + milliseconds(425));
}

TEST(AnswerTargetTest, KindWithoutTargetWantsItsAnswerByTheDeadline) {
  const Time start{std::chrono::seconds(5)};
  const AnswerTarget target =
      TargetOf(KindConfiguration(), milliseconds(100), start, start + milliseconds(500));
  EXPECT_EQ(target.on_time, start + milliseconds(500));
  EXPECT_EQ(target.useful_until, start + milliseconds(500));
}

}  // namespace
}  // namespace quetzalvale
