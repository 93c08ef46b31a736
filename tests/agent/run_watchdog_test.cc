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

}  // namespace
}  // namespace quetzalvale
