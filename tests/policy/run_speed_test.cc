#include "core/policy/run_speed.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExpected{60};

TaskKey Key(std::uint64_t job, std::uint32_t index = 0) {
  return {Ticket{"s", {1, 1}, job, 1}, index};
}

class RunSpeedTest : public testing::Test {
 protected:
  /// Runs jobs of one task, four at a time, that take `run` each.
  void RunJobs(int count, milliseconds run) {
    for (int i = 0; i < count; i += 4) {
      for (int k = 0; k < 4; ++k) {
        this->speed.Started(Key(this->next_job + k), kExpected, this->now);
      }
      this->now += run;
      for (int k = 0; k < 4; ++k) {
        this->speed.Ended(Key(this->next_job + k), true, this->now);
      }
      this->next_job += 4;
    }
  }

  RunSpeed speed;
  Time now{std::chrono::seconds(100)};
  std::uint64_t next_job = 1;
};

TEST_F(RunSpeedTest, IsUnknownBeforeEnoughRuns) {
  this->RunJobs(8, kExpected);
  EXPECT_EQ(this->speed.Speed(this->now), 0);
}

TEST_F(RunSpeedTest, FollowsEndedRuns) {
  this->RunJobs(100, kExpected);
  EXPECT_NEAR(this->speed.Speed(this->now), 1, 0.01);
  this->RunJobs(200, kExpected * 2);
  EXPECT_NEAR(this->speed.Speed(this->now), 0.5, 0.05);
}

// Guards against the pattern srv_slow: the runs of a worker that has just become slow by a factor
// of eight end last, so entries sent it more work for a second.
TEST_F(RunSpeedTest, RunsInProgressShowASlowWorkerBeforeAnyHasEnded) {
  this->RunJobs(100, kExpected);
  for (std::uint64_t job = 1000; job < 1006; ++job) {
    this->speed.Started(Key(job), kExpected, this->now);
  }
  this->now += kExpected;
  EXPECT_NEAR(this->speed.Speed(this->now), 1, 0.01) << "the runs are not overdue yet";
  this->now += kExpected * 3 / 2;
  EXPECT_LT(this->speed.Speed(this->now), 0.45);
  this->now += kExpected * 2;
  EXPECT_LT(this->speed.Speed(this->now), 0.25) << "the bound grows with the runs";
}

// The tasks of one job have similar lengths: a job whose estimate is far too low says nothing about
// the worker.
TEST_F(RunSpeedTest, OneLongJobDoesNotMakeTheWorkerSlow) {
  this->RunJobs(100, kExpected);
  for (std::uint32_t index = 0; index < 8; ++index) {
    this->speed.Started(Key(1000, index), kExpected, this->now);
  }
  this->now += kExpected * 4;
  EXPECT_GT(this->speed.Speed(this->now), 0.9);
}

// Guards against long tasks of several jobs that were taken for a slow worker while the runs beside
// them ended in time.
TEST_F(RunSpeedTest, LongTasksBesideRunsInTimeDoNotMakeTheWorkerSlow) {
  this->RunJobs(100, kExpected);
  for (std::uint64_t job = 1000; job < 1004; ++job) {
    this->speed.Started(Key(job), kExpected, this->now);
  }
  for (int i = 0; i < 7; ++i) {
    this->RunJobs(4, kExpected);
    EXPECT_GT(this->speed.Speed(this->now), 0.9) << i;
  }
}

TEST_F(RunSpeedTest, SlowdownByFourIsDetectedByTheThirdOverdueRunOfSingleRuns) {
  this->RunJobs(100, kExpected);
  for (std::uint64_t job = 1000; job < 1003; ++job) {
    this->speed.Started(Key(job), kExpected, this->now);
    this->now += kExpected * 3;
    if (job < 1002) {
      EXPECT_GT(this->speed.Speed(this->now), 0.9) << job;
      this->now += kExpected;
      this->speed.Ended(Key(job), true, this->now);
    }
  }
  EXPECT_LT(this->speed.Speed(this->now), 0.4);
}

// Entries stop runs on a slow worker and start them elsewhere; the worker remains slow without
// them.
TEST_F(RunSpeedTest, StoppedOverdueRunsRemainEvidence) {
  this->RunJobs(100, kExpected);
  for (std::uint64_t job = 1000; job < 1004; ++job) {
    this->speed.Started(Key(job), kExpected, this->now);
  }
  this->now += kExpected * 3;
  for (std::uint64_t job = 1000; job < 1004; ++job) {
    this->speed.Ended(Key(job), false, this->now);
  }
  EXPECT_LT(this->speed.Speed(this->now), 0.4);
  this->RunJobs(8, kExpected);
  EXPECT_GT(this->speed.Speed(this->now), 0.9) << "runs that end in time show its recovery";
}

// A worker that entries avoid because it was slow gets no runs that could show its recovery.
TEST_F(RunSpeedTest, ReturnsToTheUsualSpeedWithoutRuns) {
  this->RunJobs(400, kExpected);
  this->RunJobs(40, kExpected * 8);
  const double slow = this->speed.Speed(this->now);
  EXPECT_LT(slow, 0.4);
  this->now += std::chrono::seconds(4);
  EXPECT_GT(this->speed.Speed(this->now), 0.7);
}

TEST_F(RunSpeedTest, FailedAndStoppedRunsAreNotCounted) {
  this->RunJobs(100, kExpected);
  for (std::uint64_t job = 1000; job < 1100; ++job) {
    this->speed.Started(Key(job), kExpected, this->now);
    this->now += milliseconds(1);
    this->speed.Ended(Key(job), false, this->now);
  }
  EXPECT_NEAR(this->speed.Speed(this->now), 1, 0.05);
}

}  // namespace
}  // namespace quetzalvale
