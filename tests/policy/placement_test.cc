#include "core/policy/placement.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;

Candidate Free(double speed) {
  Candidate candidate;
  candidate.slots = 8;
  candidate.free_slots = 4;
  candidate.speed = speed;
  return candidate;
}

Candidate Busy(double speed, Microseconds wait) {
  Candidate candidate = Free(speed);
  candidate.free_slots = 0;
  candidate.own_outstanding = 8;
  candidate.expected_wait = wait;
  return candidate;
}

std::optional<std::size_t> Choose(const std::vector<Candidate>& candidates,
                                  const PlacementQuery& query = {milliseconds(100)}) {
  Random random(1);
  return MakePlacement(PlacementPolicy::kDefault)(candidates, query, random);
}

TEST(DefaultPlacementTest, PicksTheFastestFreeEndpoint) {
  EXPECT_EQ(Choose({Free(0.5), Free(4), Free(2)}), 1);
}

// Guards against sending a task to a slow free endpoint although a fast one becomes free and
// finishes it before that.
TEST(DefaultPlacementTest, WaitsForAFasterBusyEndpoint) {
  EXPECT_EQ(Choose({Free(0.125), Busy(1, milliseconds(20))}), std::nullopt);
}

// Guards against waiting for fast endpoints while idle slow ones would finish the task first.
TEST(DefaultPlacementTest, TakesTheSlowEndpointWhenTheWaitIsLonger) {
  EXPECT_EQ(Choose({Free(0.5), Busy(1, milliseconds(150))}), 0);
}

// Guards against waiting for a gain that is smaller than the error of the expected wait. Such waits
// are extended again and again and caused the longest response times.
TEST(DefaultPlacementTest, DoesNotWaitForASmallGain) {
  EXPECT_EQ(Choose({Free(0.5), Busy(1, milliseconds(60))}), 0);
}

// Guards against every waiting task counting on the same next slot: the queue would grow without
// limit beside idle endpoints.
TEST(DefaultPlacementTest, CountsTasksThatWaitAlready) {
  PlacementQuery query{milliseconds(100)};
  query.waiting_ahead = 80;
  EXPECT_EQ(Choose({Free(0.125), Busy(1, milliseconds(20))}, query), 0);
}

TEST(DefaultPlacementTest, LeavesTheTaskWhenNothingIsFree) {
  EXPECT_EQ(Choose({Busy(1, milliseconds(5)), Busy(2, milliseconds(5))}), std::nullopt);
  EXPECT_EQ(Choose({}), std::nullopt);
}

TEST(DefaultPlacementTest, PrefersItsOwnDataCentreAmongEquals) {
  Candidate remote = Free(1);
  remote.same_data_centre = false;
  EXPECT_EQ(Choose({remote, Free(1)}, {milliseconds(20)}), 1);
}

// If all entries broke ties in the same way, they would send to one agent at the same time.
TEST(DefaultPlacementTest, SpreadsOverEqualEndpoints) {
  const std::vector<Candidate> candidates(4, Free(1));
  const auto place = MakePlacement(PlacementPolicy::kDefault);
  Random random(5);
  std::set<std::size_t> chosen;
  for (int i = 0; i < 200; ++i) {
    chosen.insert(*place(candidates, {milliseconds(100)}, random));
  }
  EXPECT_EQ(chosen.size(), 4U);
}

TEST(BaselinePlacementTest, RoundRobinTakesTurns) {
  const std::vector<Candidate> candidates(3, Free(1));
  const auto place = MakePlacement(PlacementPolicy::kRoundRobin);
  Random random(1);
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(place(candidates, {}, random), i % 3);
  }
}

TEST(BaselinePlacementTest, LeastOutstandingIgnoresSpeed) {
  std::vector<Candidate> candidates{Free(8), Free(1), Free(4)};
  candidates[0].own_outstanding = 2;
  candidates[2].own_outstanding = 1;
  Random random(1);
  EXPECT_EQ(MakePlacement(PlacementPolicy::kLeastOutstanding)(candidates, {}, random), 1);
}

TEST(BaselinePlacementTest, PowerOfTwoNeverPicksTheWorseOfItsPair) {
  std::vector<Candidate> candidates{Free(1), Free(1)};
  candidates[0].own_outstanding = 5;
  const auto place = MakePlacement(PlacementPolicy::kPowerOfTwo);
  Random random(1);
  int worse = 0;
  for (int i = 0; i < 400; ++i) {
    worse += *place(candidates, {}, random) == 0 ? 1 : 0;
  }
  // Both draws pick the worse one in a quarter of the cases.
  EXPECT_LT(worse, 160);
}

TEST(BaselinePlacementTest, NoPolicyPicksFromNothing) {
  Random random(1);
  for (const auto policy : {PlacementPolicy::kRandom, PlacementPolicy::kRoundRobin,
                            PlacementPolicy::kLeastOutstanding, PlacementPolicy::kPowerOfTwo}) {
    EXPECT_EQ(MakePlacement(policy)({}, {}, random), std::nullopt);
  }
}

}  // namespace
}  // namespace quetzalvale
