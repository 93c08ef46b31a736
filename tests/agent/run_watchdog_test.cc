#include "core/agent/run_watchdog.h"

#include <gtest/gtest.h>

#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

const Time kStart{seconds(100)};
constexpr Milliseconds kStep{1};

// A caller submits its job again 1,300 ms after it lost its entry. The runs started by that entry
// must have ended by then, although no owner is left to stop them.
TEST(RunWatchdogTest, RunsEndWhenTheirOwnerIsSilent) {
  RunWatchdog watchdog;
  watchdog.RecordOwnerContact(kOwnerId, kStart);
  watchdog.Add(MakeTask(1), kStart + seconds(10));
  EXPECT_TRUE(watchdog.TakeDue(kStart + RunWatchdog::kMaxOwnerSilence - kStep).empty());
  EXPECT_EQ(watchdog.TakeDue(kStart + RunWatchdog::kMaxOwnerSilence).size(), 1U);
}

TEST(RunWatchdogTest, RunsOfAnActiveOwnerContinue) {
  RunWatchdog watchdog;
  watchdog.RecordOwnerContact(kOwnerId, kStart);
  watchdog.Add(MakeTask(1), kStart + seconds(10));
  watchdog.RecordOwnerContact(kOwnerId, kStart + Milliseconds(600));
  EXPECT_TRUE(watchdog.TakeDue(kStart + Milliseconds(1200)).empty());
}

TEST(RunWatchdogTest, RunsEndAtTheDeadlineEvenIfTheOwnerIsHeard) {
  RunWatchdog watchdog;
  watchdog.Add(MakeTask(1), kStart + Milliseconds(300));
  watchdog.RecordOwnerContact(kOwnerId, kStart + Milliseconds(300));
  EXPECT_EQ(watchdog.TakeDue(kStart + Milliseconds(300)).size(), 1U);
}

// If an entry is killed, and its agent 710 ms later just before it stops the entry's runs, a lease
// renewed at that moment let a run last for 1,526 ms. Callers submit again after 1,300 ms.
TEST(RunWatchdogTest, LeasesOfASilentOwnersRunsAreNotRenewed) {
  RunWatchdog watchdog;
  watchdog.RecordOwnerContact(kOwnerId, kStart);
  EXPECT_FALSE(watchdog.ForbidsLeaseRenewal(kStart + seconds(5))) << "no runs";
  watchdog.Add(MakeTask(1), kStart + seconds(10));
  EXPECT_FALSE(watchdog.ForbidsLeaseRenewal(kStart + RunWatchdog::kMaxSilenceForRenewal - kStep));
  EXPECT_TRUE(watchdog.ForbidsLeaseRenewal(kStart + RunWatchdog::kMaxSilenceForRenewal));
  watchdog.Remove(MakeTask(1));
  EXPECT_FALSE(watchdog.ForbidsLeaseRenewal(kStart + RunWatchdog::kMaxSilenceForRenewal));
}

// A lost stop must be repeated, but not at every tick.
TEST(RunWatchdogTest, StopIsRepeatedUntilTheRunHasEnded) {
  RunWatchdog watchdog;
  watchdog.Add(MakeTask(1), kStart);
  EXPECT_EQ(watchdog.TakeDue(kStart).size(), 1U);
  EXPECT_TRUE(watchdog.TakeDue(kStart + RunWatchdog::kStopRetryInterval - kStep).empty());
  EXPECT_EQ(watchdog.TakeDue(kStart + RunWatchdog::kStopRetryInterval).size(), 1U);
  watchdog.Remove(MakeTask(1));
  EXPECT_TRUE(watchdog.TakeDue(kStart + seconds(5)).empty());
}

// A withdrawn run went on until its deadline when its worker left the stop unanswered, and its
// caller's second submission ran beside it.
TEST(RunWatchdogTest, WithdrawnRunEndsBeforeItsDeadline) {
  RunWatchdog watchdog;
  watchdog.RecordOwnerContact(kOwnerId, kStart);
  watchdog.Add(MakeTask(1), kStart + seconds(10));
  EXPECT_TRUE(watchdog.TakeDue(kStart).empty());
  watchdog.Withdraw(MakeTask(1), kStart);
  for (int stops = 1; stops <= 3; ++stops) {
    const Time now = kStart + (stops - 1) * RunWatchdog::kStopRetryInterval;
    const auto due = watchdog.TakeDue(now);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].reason, RunWatchdog::Reason::kWithdrawn);
    EXPECT_EQ(due[0].stops, stops);
  }
}

// Runs of jobs that are not repeatable have no deadline here, but a withdrawal of them can be lost
// on its way to the worker as well.
TEST(RunWatchdogTest, WithdrawnRunNeedNotHaveBeenAdded) {
  RunWatchdog watchdog;
  watchdog.Withdraw(MakeTask(1), kStart);
  EXPECT_EQ(watchdog.TakeDue(kStart).size(), 1U);
  EXPECT_EQ(watchdog.TakeDue(kStart + RunWatchdog::kStopRetryInterval).size(), 1U);
}

// If no stop of a withdrawn run reaches the worker, the run must end with its lease. The owner of
// the run is alive, so its silence does not pause the renewal.
TEST(RunWatchdogTest, LeaseOfARunThatOutlastsItsStopIsNotRenewed) {
  RunWatchdog watchdog;
  watchdog.Add(MakeTask(1), kStart + seconds(10));
  watchdog.Withdraw(MakeTask(1), kStart);
  watchdog.Withdraw(MakeTask(1), kStart + kStep);
  const Time pause = kStart + RunWatchdog::kMaxStopTimeForRenewal;
  watchdog.RecordOwnerContact(kOwnerId, pause);
  EXPECT_FALSE(watchdog.ForbidsLeaseRenewal(pause - kStep));
  EXPECT_TRUE(watchdog.ForbidsLeaseRenewal(pause));
  watchdog.Remove(MakeTask(1));
  EXPECT_FALSE(watchdog.ForbidsLeaseRenewal(pause));
}

// The same after the deadline, at which the caller may submit again as well.
TEST(RunWatchdogTest, LeaseOfARunPastItsDeadlineIsNotRenewed) {
  RunWatchdog watchdog;
  watchdog.Add(MakeTask(1), kStart);
  const Time pause = kStart + RunWatchdog::kMaxStopTimeForRenewal;
  watchdog.RecordOwnerContact(kOwnerId, pause);
  EXPECT_FALSE(watchdog.ForbidsLeaseRenewal(pause - kStep));
  EXPECT_TRUE(watchdog.ForbidsLeaseRenewal(pause));
}

}  // namespace
}  // namespace quetzalvale
