#include "core/policy/offload_policy.h"

#include <gtest/gtest.h>

#include <map>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;

constexpr double kSmall = 0.12;
constexpr double kLarge = 0.5;
constexpr int kJobs = 10000;
const Time kStart{std::chrono::seconds(100)};

class OffloadPolicyTest : public testing::Test {
 protected:
  OffloadPolicyTest() {
    this->policy.SetPeers({{"large:1", kLarge}, {"equal:1", kSmall}, {"small:1", kSmall / 2}});
  }

  /// Advances the time by `windows` windows with this lag.
  void PassWindows(int windows, milliseconds lag) {
    for (int i = 0; i < windows; ++i) {
      this->now += milliseconds(100);
      this->policy.NoteLag(lag, this->now);
    }
  }

  /// Counts the jobs by the address they go to; the empty address is this entry.
  std::map<std::string, int> CountDestinations() {
    std::map<std::string, int> counts;
    for (int i = 0; i < kJobs; ++i) {
      ++counts[this->policy.Choose(this->now, this->random).value_or("")];
    }
    return counts;
  }

  OffloadPolicy policy{kSmall};
  Random random{1};
  Time now = kStart;
};

// Guards against overloaded small entries when the callers of one data centre reach only its two
// smallest entries.
TEST_F(OffloadPolicyTest, SmallEntryWithHighLagOffloadsMostJobsToLargerOnes) {
  EXPECT_EQ(this->CountDestinations()[""], kJobs);
  this->PassWindows(5, milliseconds(200));
  const auto destinations = this->CountDestinations();
  EXPECT_LT(destinations.at(""), kJobs / 10);
  EXPECT_GT(destinations.at("large:1"), 3 * destinations.at("equal:1"));
  EXPECT_FALSE(destinations.contains("small:1")) << "smaller entries get no jobs";
}

TEST_F(OffloadPolicyTest, FractionDeclinesSlowlyWhenLagIsLow) {
  this->PassWindows(5, milliseconds(200));
  this->PassWindows(5, milliseconds(5));
  EXPECT_GT(this->policy.Fraction(), 0.5);
  this->PassWindows(40, milliseconds(5));
  EXPECT_EQ(this->CountDestinations()[""], kJobs);
}

// Between the two lag limits the fraction stays constant; otherwise it would oscillate around one
// of them.
TEST_F(OffloadPolicyTest, FractionStaysBetweenTheLimits) {
  this->PassWindows(2, milliseconds(200));
  const double fraction = this->policy.Fraction();
  this->PassWindows(10, milliseconds(20));
  EXPECT_EQ(this->policy.Fraction(), fraction);
}

// Guards against jobs that wait for an entry that is gone for good: its row stays in the table, and
// each job handed to it was answered only after its time.
TEST_F(OffloadPolicyTest, PauseOfAPeerThatDoesNotRespondGrows) {
  this->PassWindows(5, milliseconds(200));
  const auto gets_jobs_after = [this](milliseconds pause) {
    this->now += pause;
    return this->CountDestinations().contains("large:1");
  };
  this->policy.NoteFailure("large:1", this->now);
  EXPECT_FALSE(gets_jobs_after(milliseconds(499)));
  EXPECT_TRUE(gets_jobs_after(milliseconds(1)));
  this->policy.NoteFailure("large:1", this->now);
  EXPECT_FALSE(gets_jobs_after(milliseconds(999)));
  EXPECT_TRUE(gets_jobs_after(milliseconds(1)));
  this->policy.NoteServed("large:1");
  this->policy.NoteFailure("large:1", this->now);
  EXPECT_TRUE(gets_jobs_after(milliseconds(500))) << "a response ends the series of failures";
}

// Guards against offloading to a large entry that is overloaded, frozen or leaving.
TEST_F(OffloadPolicyTest, PeerThatRefusedIsPaused) {
  this->PassWindows(5, milliseconds(200));
  this->policy.NoteRefusal("large:1", this->now);
  EXPECT_FALSE(this->CountDestinations().contains("large:1"));
  this->now += milliseconds(500);
  EXPECT_TRUE(this->CountDestinations().contains("large:1"));
}

TEST_F(OffloadPolicyTest, WithoutPeersAllJobsStay) {
  this->PassWindows(5, milliseconds(200));
  this->policy.SetPeers({});
  EXPECT_EQ(this->CountDestinations()[""], kJobs);
}

}  // namespace
}  // namespace quetzalvale
