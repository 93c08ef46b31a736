#include "core/policy/quota_table.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time{} + seconds(1000);

constexpr Incarnation kPeer{0, 2};

/// Requests one task every 10 ms and returns how many were granted. The peer answers a report every
/// second if the table knows it.
int TakeFor(QuotaTable& table, Time from, int hundredths) {
  int taken = 0;
  for (int i = 0; i < hundredths; ++i) {
    if (i % 100 == 0) table.ConfirmPeer(kPeer, from + milliseconds(10 * i));
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

// Guards against each entry granting the whole quota, which would multiply it by the number of
// entries. While demand rises, the entries may grant less than the quota, but never more.
TEST(QuotaTableTest, EntriesTogetherKeepTheQuota) {
  QuotaTable first;
  QuotaTable second;
  for (QuotaTable* table : {&first, &second}) table->SetQuota("desk", 40);
  first.AddPeer({0, 2}, kStart);
  second.AddPeer({0, 1}, kStart);
  int rising = 0;
  int steady = 0;
  for (int i = 0; i < 4000; ++i) {
    const Time now = kStart + milliseconds(10 * i);
    if (i % 50 == 0) {
      first.SetPeerDemand({0, 2}, "desk", second.Demand("desk", now));
      second.SetPeerDemand({0, 1}, "desk", first.Demand("desk", now));
      first.ConfirmPeer({0, 2}, now);
      second.ConfirmPeer({0, 1}, now);
    }
    int& taken = i < 2000 ? rising : steady;
    taken += first.TryTake("desk", 1, now) ? 1 : 0;
    if (i % 4 == 0) taken += second.TryTake("desk", 1, now) ? 1 : 0;
  }
  EXPECT_LE(rising, 40 * 20 + 42);
  EXPECT_NEAR(steady, 40 * 20, 100);
}

// Guards against fixed equal shares, with which an entry that gets all of the team's jobs would
// grant only half of the quota.
TEST(QuotaTableTest, ShareFollowsDemand) {
  QuotaTable table;
  table.SetQuota("desk", 20);
  table.AddPeer(kPeer, kStart);
  table.SetPeerDemand(kPeer, "desk", 0);
  TakeFor(table, kStart, 500);
  EXPECT_NEAR(TakeFor(table, kStart + seconds(5), 1000), 200, 15);
  table.SetPeerDemand(kPeer, "desk", 300);
  TakeFor(table, kStart + seconds(15), 500);
  EXPECT_NEAR(TakeFor(table, kStart + seconds(20), 1000), 50, 10);
  table.ForgetPeer(kPeer);
  EXPECT_NEAR(TakeFor(table, kStart + seconds(30), 1000), 200, 15);
}

// Guards against an entry that raises its share because of demand that its peers have not been told
// of: entries whose demand rises at the same time would each use almost the whole quota.
TEST(QuotaTableTest, ClaimsOnlyDemandThatPeersWereToldOf) {
  QuotaTable table;
  table.SetQuota("desk", 40);
  table.AddPeer(kPeer, kStart);
  table.SetPeerDemand(kPeer, "desk", 0);
  int taken = 0;
  for (int i = 0; i < 1200; ++i) taken += table.TryTake("desk", 1, kStart + milliseconds(10 * i));
  EXPECT_LE(taken, 20 * 12 + 20);
}

// Guards against taking over the share of a silent peer at once: each side of a partition would
// grant the whole quota. The share of a peer that is known to be gone is taken over.
TEST(QuotaTableTest, KeepsTheShareOfASilentPeer) {
  QuotaTable table;
  table.SetQuota("desk", 40);
  table.AddPeer(kPeer, kStart);
  TakeFor(table, kStart, 1000);
  int taken = 0;
  for (int i = 0; i < 100000; ++i) {
    const Time now = kStart + seconds(30) + milliseconds(10 * i);
    if (i % 100 == 0) table.Expire(now);
    taken += table.TryTake("desk", 1, now);
  }
  EXPECT_NEAR(taken, 20 * 1000, 100);
  table.ForgetPeer(kPeer);
  EXPECT_NEAR(TakeFor(table, kStart + seconds(1030), 1000), 400, 25);
}

// With many entries, a peer gets a report only once in many seconds. With a fixed limit every peer
// would count as unreachable between two reports, and no entry could ever claim its demand.
TEST(QuotaTableTest, WaitsForTwoRoundsOfReports) {
  for (const bool many_entries : {false, true}) {
    QuotaTable table;
    table.SetQuota("desk", 100);
    if (many_entries) table.SetReportInterval(seconds(15));
    table.AddPeer(kPeer, kStart);
    int taken = 0;
    for (int i = 0; i < 4500; ++i) {
      const Time now = kStart + milliseconds(10 * i);
      if (i % 1500 == 0) table.ConfirmPeer(kPeer, now);
      const bool steady = i >= 3000;
      taken += table.TryTake("desk", 1, now) && steady ? 1 : 0;
    }
    // Either the whole quota in the last 15 s, or two thirds of it and then an equal share.
    if (many_entries) {
      EXPECT_GT(taken, 1350);
    } else {
      EXPECT_LT(taken, 1350);
    }
  }
}

// Guards against a dead entry that keeps its share forever because no other entry takes over its
// address, although most entries can be reached.
TEST(QuotaTableTest, ForgetsASilentPeerWhenMostAreReachable) {
  QuotaTable table;
  table.SetQuota("desk", 40);
  table.AddPeer(kPeer, kStart);
  table.AddPeer({0, 3}, kStart);
  const Time later = kStart + std::chrono::minutes(11);
  TakeFor(table, later - seconds(20), 2000);
  table.ConfirmPeer(kPeer, later);
  table.Expire(later);
  EXPECT_NEAR(TakeFor(table, later, 1000), 400, 40);
}

// Guards against an entry that joins and uses the whole quota before it has received anything from
// the others.
TEST(QuotaTableTest, CountsUnidentifiedEntries) {
  QuotaTable table;
  table.SetQuota("desk", 40);
  table.SetUnidentifiedPeers(3, kStart);
  EXPECT_NEAR(TakeFor(table, kStart, 1000), 10 * 10 + 10, 5);
}

// Guards against a job that can never run because it is larger than one second's quota.
TEST(QuotaTableTest, AcceptsALargeJobAndLeavesADebt) {
  QuotaTable table;
  table.SetQuota("desk", 10);
  EXPECT_TRUE(table.TryTake("desk", 100, kStart));
  EXPECT_FALSE(table.TryTake("desk", 1, kStart + seconds(8)));
  EXPECT_TRUE(table.TryTake("desk", 1, kStart + seconds(10)));
}

// Rejected jobs count as demand as well; otherwise an entry would lose its share by rejecting.
TEST(QuotaTableTest, CountsRefusedDemand) {
  QuotaTable table;
  table.SetQuota("desk", 1);
  TakeFor(table, kStart, 3000);
  EXPECT_NEAR(table.Demand("desk", kStart + seconds(30)), 100, 5);
  EXPECT_LT(table.Demand("desk", kStart + seconds(90)), 1);
}

TEST(QuotaTableTest, RefundsTokensOfARejectedJob) {
  QuotaTable table;
  table.SetQuota("desk", 10);
  EXPECT_TRUE(table.TryTake("desk", 10, kStart));
  table.Refund("desk", 10);
  EXPECT_TRUE(table.TryTake("desk", 10, kStart));
  table.Refund("desk", 1000);
  EXPECT_TRUE(table.TryTake("desk", 10, kStart));
  EXPECT_FALSE(table.TryTake("desk", 10, kStart));
}

}  // namespace
}  // namespace quetzalvale
