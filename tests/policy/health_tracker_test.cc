#include "core/policy/health_tracker.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time{} + seconds(1000);

class HealthTrackerTest : public ::testing::Test {
 protected:
  void Eject() {
    for (int i = 0; i < 3; ++i) this->tracker.Record("w1", false, kStart);
  }

  HealthTracker tracker{3, milliseconds(1000)};
};

TEST_F(HealthTrackerTest, EjectsOnceAfterConsecutiveFailures) {
  EXPECT_FALSE(this->tracker.Record("w1", false, kStart));
  EXPECT_FALSE(this->tracker.Record("w1", false, kStart));
  EXPECT_TRUE(this->tracker.IsAvailable("w1"));
  EXPECT_TRUE(this->tracker.Record("w1", false, kStart));
  EXPECT_FALSE(this->tracker.IsAvailable("w1"));
  EXPECT_TRUE(this->tracker.IsAvailable("w2"));
  EXPECT_FALSE(this->tracker.Record("w1", false, kStart));
}

// Tasks may fail for reasons of their own; an endpoint that also succeeds is not ejected.
TEST_F(HealthTrackerTest, KeepsAnEndpointThatFailsNowAndThen) {
  for (int i = 0; i < 30; ++i) {
    EXPECT_FALSE(this->tracker.Record("w1", i % 3 == 0, kStart));
  }
}

// Guards against a constant pause between failed probes, at which a dead worker would go on losing
// tasks at the same rate.
TEST_F(HealthTrackerTest, DoublesThePauseAfterAFailedProbe) {
  this->Eject();
  EXPECT_FALSE(this->tracker.MayProbe("w1", kStart + milliseconds(999)));
  Time now = kStart + milliseconds(1000);
  for (const int pause : {2000, 4000, 8000, 16000, 32000, 32000}) {
    ASSERT_TRUE(this->tracker.MayProbe("w1", now));
    this->tracker.ProbeSent("w1", now);
    EXPECT_FALSE(this->tracker.MayProbe("w1", now));
    this->tracker.Record("w1", false, now);
    EXPECT_FALSE(this->tracker.MayProbe("w1", now + milliseconds(pause - 1)));
    now += milliseconds(pause);
  }
}

TEST_F(HealthTrackerTest, SuccessfulProbeReinstates) {
  this->Eject();
  this->tracker.ProbeSent("w1", kStart + seconds(1));
  this->tracker.Record("w1", true, kStart + seconds(1));
  EXPECT_TRUE(this->tracker.IsAvailable("w1"));
  EXPECT_FALSE(this->tracker.MayProbe("w1", kStart + seconds(99)));
}

// Tasks that were started before the ejection finish later; their outcomes must neither reinstate
// the endpoint nor lengthen the pause.
TEST_F(HealthTrackerTest, IgnoresLateOutcomes) {
  this->Eject();
  for (int i = 0; i < 8; ++i) this->tracker.Record("w1", false, kStart);
  this->tracker.Record("w1", true, kStart);
  EXPECT_FALSE(this->tracker.IsAvailable("w1"));
  EXPECT_TRUE(this->tracker.MayProbe("w1", kStart + seconds(1)));
}

// Guards against a lost probe that keeps an endpoint ejected forever.
TEST_F(HealthTrackerTest, ProbesAgainWhenAProbeIsLost) {
  this->Eject();
  this->tracker.ProbeSent("w1", kStart + seconds(1));
  EXPECT_TRUE(this->tracker.MayProbe("w1", kStart + seconds(2)));
}

TEST_F(HealthTrackerTest, ForgetsAndChangesLimits) {
  this->Eject();
  this->tracker.Forget("w1");
  EXPECT_TRUE(this->tracker.IsAvailable("w1"));
  this->tracker.SetLimits(1, milliseconds(50));
  EXPECT_TRUE(this->tracker.Record("w1", false, kStart));
  EXPECT_TRUE(this->tracker.MayProbe("w1", kStart + milliseconds(50)));
}

}  // namespace
}  // namespace quetzalvale
