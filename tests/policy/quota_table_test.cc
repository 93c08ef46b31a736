#include "core/quota_table.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time{} + seconds(1000);

/// Asks for one task every 10 ms and returns how many were taken.
int TakeFor(QuotaTable& table, Time from, int hundredths) {
  int taken = 0;
  for (int i = 0; i < hundredths; ++i) {
    taken += table.TryTake("desk", 1, from + milliseconds(10 * i)) ? 1 : 0;
  }
  return taken;
}

TEST(QuotaTableTest, KeepsTheRate) {
  QuotaTable table;
  table.SetQuota("desk", 20);
  EXPECT_NEAR(TakeFor(table, kStart, 1000), 220, 2);
}

TEST(QuotaTableTest, ZeroMeansNoQuota) {
  QuotaTable table;
  table.SetQuota("desk", 0);
  EXPECT_EQ(TakeFor(table, kStart, 1000), 1000);
}

// Fails when each entry grants the whole quota: the team would get it once per entry.
TEST(QuotaTableTest, EntriesTogetherKeepTheQuota) {
  QuotaTable first;
  QuotaTable second;
  for (QuotaTable* table : {&first, &second}) table->SetQuota("desk", 40);
  int taken = 0;
  for (int i = 0; i < 2000; ++i) {
    const Time now = kStart + milliseconds(10 * i);
    if (i % 50 == 0) {
      first.SetPeerDemand({0, 2}, "desk", second.Demand("desk", now));
      second.SetPeerDemand({0, 1}, "desk", first.Demand("desk", now));
    }
    taken += first.TryTake("desk", 1, now) ? 1 : 0;
    if (i % 4 == 0) taken += second.TryTake("desk", 1, now) ? 1 : 0;
  }
  EXPECT_NEAR(taken, 40 * 20, 100);
}

// Fails with fixed equal parts: an entry that gets all of the team's jobs would grant only half.
TEST(QuotaTableTest, ShareFollowsDemand) {
  QuotaTable table;
  table.SetQuota("desk", 20);
  table.SetPeerDemand({0, 2}, "desk", 0);
  TakeFor(table, kStart, 500);
  EXPECT_NEAR(TakeFor(table, kStart + seconds(5), 1000), 200, 15);
  table.SetPeerDemand({0, 2}, "desk", 300);
  TakeFor(table, kStart + seconds(15), 500);
  EXPECT_NEAR(TakeFor(table, kStart + seconds(20), 1000), 50, 10);
  table.ForgetPeer({0, 2});
  EXPECT_NEAR(TakeFor(table, kStart + seconds(30), 1000), 200, 15);
}

// Fails when a job larger than one second's worth can never run.
TEST(QuotaTableTest, TakesALargeJobAndMakesItPayLater) {
  QuotaTable table;
  table.SetQuota("desk", 10);
  EXPECT_TRUE(table.TryTake("desk", 100, kStart));
  EXPECT_FALSE(table.TryTake("desk", 1, kStart + seconds(8)));
  EXPECT_TRUE(table.TryTake("desk", 1, kStart + seconds(10)));
}

// Refused jobs still count as demand, or an entry would lose its share by refusing.
TEST(QuotaTableTest, CountsRefusedDemand) {
  QuotaTable table;
  table.SetQuota("desk", 1);
  TakeFor(table, kStart, 3000);
  EXPECT_NEAR(table.Demand("desk", kStart + seconds(30)), 100, 5);
  EXPECT_LT(table.Demand("desk", kStart + seconds(90)), 1);
}

TEST(QuotaTableTest, ReturnsTokensOfARefusedJob) {
  QuotaTable table;
  table.SetQuota("desk", 10);
  EXPECT_TRUE(table.TryTake("desk", 10, kStart));
  table.GiveBack("desk", 10);
  EXPECT_TRUE(table.TryTake("desk", 10, kStart));
  table.GiveBack("desk", 1000);
  EXPECT_TRUE(table.TryTake("desk", 10, kStart));
  EXPECT_FALSE(table.TryTake("desk", 10, kStart));
}

}  // namespace
}  // namespace quetzalvale
