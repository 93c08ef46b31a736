#include "core/policy/shedding.h"

#include <gtest/gtest.h>

#include <map>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;

constexpr double kSmall = 0.12;
constexpr double kLarge = 0.5;
constexpr int kJobs = 10000;
const Time kStart{std::chrono::seconds(100)};

class SheddingTest : public testing::Test {
 protected:
  SheddingTest() {
    this->shedding.SetPeers({{"large:1", kLarge}, {"equal:1", kSmall}, {"small:1", kSmall / 2}});
  }

  /// Advances the time by `windows` windows with this lag.
  void Pass(int windows, milliseconds lag) {
    for (int i = 0; i < windows; ++i) {
      this->now += milliseconds(100);
      this->shedding.NoteLag(lag, this->now);
    }
  }

  /// Counts the jobs by the address they go to; the empty address is this entry.
  std::map<std::string, int> Spread() {
    std::map<std::string, int> counts;
    for (int i = 0; i < kJobs; ++i) {
      ++counts[this->shedding.Choose(this->now, this->random).value_or("")];
    }
    return counts;
  }

  Shedding shedding{kSmall};
  Random random{1};
  Time now = kStart;
};

// Guards against overloaded small entries when the callers of one data centre reach only its two
// smallest entries.
TEST_F(SheddingTest, SmallEntryThatIsLateHandsMostJobsToLargerOnes) {
  EXPECT_EQ(this->Spread()[""], kJobs);
  this->Pass(5, milliseconds(200));
  const auto spread = this->Spread();
  EXPECT_LT(spread.at(""), kJobs / 10);
  EXPECT_GT(spread.at("large:1"), 3 * spread.at("equal:1"));
  EXPECT_FALSE(spread.contains("small:1")) << "a smaller entry is worse off";
}

TEST_F(SheddingTest, JobsComeBackSlowlyWhenThereIsTime) {
  this->Pass(5, milliseconds(200));
  this->Pass(5, milliseconds(5));
  EXPECT_GT(this->shedding.Part(), 0.5);
  this->Pass(40, milliseconds(5));
  EXPECT_EQ(this->Spread()[""], kJobs);
}

// Between the two lag limits the fraction stays constant; otherwise it would oscillate around one
// of them.
TEST_F(SheddingTest, PartStaysBetweenTheBounds) {
  this->Pass(2, milliseconds(200));
  const double part = this->shedding.Part();
  this->Pass(10, milliseconds(20));
  EXPECT_EQ(this->shedding.Part(), part);
}

// Guards against offloading to a large entry that is overloaded, frozen or leaving.
TEST_F(SheddingTest, PeerThatRefusedIsLeftOutForAWhile) {
  this->Pass(5, milliseconds(200));
  this->shedding.NoteRefusal("large:1", this->now);
  EXPECT_FALSE(this->Spread().contains("large:1"));
  this->now += milliseconds(500);
  EXPECT_TRUE(this->Spread().contains("large:1"));
}

TEST_F(SheddingTest, WithoutPeersEverythingStays) {
  this->Pass(5, milliseconds(200));
  this->shedding.SetPeers({});
  EXPECT_EQ(this->Spread()[""], kJobs);
}

}  // namespace
}  // namespace quetzalvale
