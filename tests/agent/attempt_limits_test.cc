#include "core/agent/attempt_limits.h"

#include <gtest/gtest.h>

#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

const Time kStart{seconds(100)};
constexpr Milliseconds kStep{1};

// A caller submits its job again 1,300 ms after it lost its entry. What that entry started must
// have ended by then, although nobody is left to stop it.
TEST(AttemptLimitsTest, RunsEndWhenTheirOwnerIsSilent) {
  AttemptLimits limits;
  limits.Heard(kOwnerId, kStart);
  limits.Add(MakeTask(1), kStart + seconds(10));
  EXPECT_TRUE(limits.TakeDue(kStart + AttemptLimits::kOwnerLease - kStep).empty());
  EXPECT_EQ(limits.TakeDue(kStart + AttemptLimits::kOwnerLease).size(), 1U);
}

TEST(AttemptLimitsTest, OwnerThatIsHeardKeepsItsRuns) {
  AttemptLimits limits;
  limits.Heard(kOwnerId, kStart);
  limits.Add(MakeTask(1), kStart + seconds(10));
  limits.Heard(kOwnerId, kStart + Milliseconds(600));
  EXPECT_TRUE(limits.TakeDue(kStart + Milliseconds(1200)).empty());
}

TEST(AttemptLimitsTest, RunsEndAtTheDeadlineWhateverTheOwnerSays) {
  AttemptLimits limits;
  limits.Add(MakeTask(1), kStart + Milliseconds(300));
  limits.Heard(kOwnerId, kStart + Milliseconds(300));
  EXPECT_EQ(limits.TakeDue(kStart + Milliseconds(300)).size(), 1U);
}

// An entry that is killed, and its agent 710 ms later, just before it stops the entry's runs: a
// lease extended at that moment let a run last for 1,526 ms, and the caller submits again after
// 1,300 ms.
TEST(AttemptLimitsTest, RunsOfASilentOwnerAreNotKeptUntilTheyAreStopped) {
  AttemptLimits limits;
  limits.Heard(kOwnerId, kStart);
  EXPECT_FALSE(limits.ForbidsExtension(kStart + seconds(5))) << "nothing runs";
  limits.Add(MakeTask(1), kStart + seconds(10));
  EXPECT_FALSE(limits.ForbidsExtension(kStart + AttemptLimits::kLastExtension - kStep));
  EXPECT_TRUE(limits.ForbidsExtension(kStart + AttemptLimits::kLastExtension));
  limits.Remove(MakeTask(1));
  EXPECT_FALSE(limits.ForbidsExtension(kStart + AttemptLimits::kLastExtension));
}

// A stop that got lost must be sent again, but not at every tick.
TEST(AttemptLimitsTest, StopIsRepeatedUntilTheRunHasEnded) {
  AttemptLimits limits;
  limits.Add(MakeTask(1), kStart);
  EXPECT_EQ(limits.TakeDue(kStart).size(), 1U);
  EXPECT_TRUE(limits.TakeDue(kStart + AttemptLimits::kRepeat - kStep).empty());
  EXPECT_EQ(limits.TakeDue(kStart + AttemptLimits::kRepeat).size(), 1U);
  limits.Remove(MakeTask(1));
  EXPECT_TRUE(limits.TakeDue(kStart + seconds(5)).empty());
}

}  // namespace
}  // namespace quetzalvale
