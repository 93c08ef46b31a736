#include "core/policy/estimate_renewal.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

Time At(int ms) { return Time{std::chrono::seconds(100)} + Milliseconds(ms); }

// With one worker that had been slow, an entry refused all jobs for good (review, trial_slow).
TEST(EstimateRenewalTest, OneJobIsAcceptedWhenNoRunHasConfirmedTheEstimates) {
  EstimateRenewal renewal;
  EXPECT_FALSE(renewal.MayAccept("k", At(0)));
  EXPECT_FALSE(renewal.MayAccept("k", At(2999)));
  renewal.RunEnded("k", At(2999));
  EXPECT_FALSE(renewal.MayAccept("k", At(5998))) << "confirmed meanwhile";
  EXPECT_TRUE(renewal.MayAccept("k", At(5999)));
  renewal.Accepted("k", At(5999));
  EXPECT_FALSE(renewal.MayAccept("k", At(60000))) << "one at a time";
}

// One job in three seconds would take minutes to correct estimates that are wrong, and without an
// end an overloaded entry would take jobs that are late.
TEST(EstimateRenewalTest, FurtherJobsFollowForAsLongAsTheyAreOnTime) {
  EstimateRenewal renewal;
  renewal.MayAccept("k", At(0));
  renewal.Accepted("k", At(3000));
  renewal.Answered("k", true);
  EXPECT_TRUE(renewal.MayAccept("k", At(3100)));
  renewal.Accepted("k", At(3100));
  renewal.Answered("k", false);
  EXPECT_FALSE(renewal.MayAccept("k", At(6099)));
  EXPECT_TRUE(renewal.MayAccept("k", At(6100)));
}

}  // namespace
}  // namespace quetzalvale
