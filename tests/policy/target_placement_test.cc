#include <gtest/gtest.h>

#include <vector>

#include "core/policy/placement.h"

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;

constexpr double kSlow = 0.8;
constexpr double kFast = 1.75;

Candidate Endpoint(double speed, int free_slots, double free_share) {
  Candidate candidate;
  candidate.slots = 10;
  candidate.free_slots = free_slots;
  candidate.free_share = free_share;
  candidate.speed = speed;
  return candidate;
}

Candidate Full(double speed, milliseconds wait) {
  Candidate candidate = Endpoint(speed, 0, 0);
  candidate.full = true;
  candidate.expected_wait = wait;
  return candidate;
}

PlacementQuery Query(milliseconds expected, milliseconds on_time, milliseconds left) {
  PlacementQuery query{expected, left};
  query.on_time_left = on_time;
  return query;
}

std::optional<std::size_t> Choose(const std::vector<Candidate>& candidates,
                                  const PlacementQuery& query) {
  Random random(1);
  return MakePlacement(PlacementPolicy::kDefault)(candidates, query, random);
}

// Guards against short tasks that take fast endpoints although they would be on time on a slow one.
// With three of eleven endpoints twice as fast, only those finish the longest tasks in time.
TEST(TargetPlacementTest, ShortTaskTakesTheSlowestEndpointThatIsOnTime) {
  const auto query = Query(milliseconds(60), milliseconds(156), milliseconds(1480));
  EXPECT_EQ(Choose({Endpoint(kFast, 2, 0.2), Endpoint(kSlow, 2, 0.2)}, query), 1);
}

TEST(TargetPlacementTest, AmpleCapacityIsUsedAtFullSpeed) {
  const auto query = Query(milliseconds(60), milliseconds(156), milliseconds(1480));
  EXPECT_EQ(Choose({Endpoint(kFast, 8, 0.8), Endpoint(kSlow, 2, 0.2)}, query), 0);
}

// Guards against spreading one job over many endpoints: eight tasks on eight endpoints cost a small
// entry eight messages each way.
TEST(TargetPlacementTest, TasksOfAJobShareAnEndpointThatHasCapacity) {
  const auto query = Query(milliseconds(60), milliseconds(156), milliseconds(1480));
  Candidate joined = Endpoint(1, 6, 0.6);
  joined.has_pending_message = true;
  EXPECT_EQ(Choose({Endpoint(1.1, 8, 0.8), joined, Endpoint(1.1, 8, 0.8)}, query), 1);
  joined.free_share = 0.4;
  EXPECT_EQ(Choose({Endpoint(1.1, 8, 0.8), joined}, query), 0) << "free capacity there is scarce";
  joined.free_slots = 0;
  EXPECT_EQ(Choose({joined, Endpoint(1, 2, 0.2)}, query), 1) << "no free capacity is left there";
}

// Guards against short tasks that follow each other to the few fast endpoints: of the largest tenth
// of the jobs, less than half as many were served as of all jobs.
TEST(TargetPlacementTest, ShortTasksDoNotFollowEachOtherToAFastEndpoint) {
  const auto query = Query(milliseconds(60), milliseconds(156), milliseconds(1480));
  Candidate joined = Endpoint(kFast, 2, 0.2);
  joined.has_pending_message = true;
  EXPECT_EQ(Choose({joined, Endpoint(kSlow, 2, 0.2)}, query), 1);
}

// The target grows with the length of the task but the deadline does not: a long task that runs
// longer than declared would miss the deadline on the slow endpoint.
TEST(TargetPlacementTest, LongTaskGoesWhereALongRunStillMeetsTheDeadline) {
  const auto query = Query(milliseconds(900), milliseconds(1480), milliseconds(1480));
  EXPECT_EQ(Choose({Endpoint(kSlow, 8, 0.8), Endpoint(kFast, 1, 0.1)}, query), 1);
}

TEST(TargetPlacementTest, LongTaskWaitsForAFullFastEndpoint) {
  const auto query = Query(milliseconds(900), milliseconds(1480), milliseconds(1480));
  EXPECT_EQ(Choose({Endpoint(kSlow, 8, 0.8), Full(kFast, milliseconds(30))}, query), std::nullopt);
}

// Guards against short tasks that would be just late on the many slow endpoints and therefore fill
// the few fast ones: a seventh of the long tasks then missed their deadlines on slow endpoints.
TEST(TargetPlacementTest, CapacityOnFastEndpointsIsReservedForTasksThatNeedIt) {
  auto query = Query(milliseconds(250), milliseconds(300), milliseconds(1480));
  const std::vector<Candidate> candidates{Endpoint(kFast, 2, 0.2), Endpoint(kSlow, 2, 0.2)};
  EXPECT_EQ(Choose(candidates, query), 0) << "no other task needs the fast endpoint";
  query.reserve_fast_endpoints = true;
  EXPECT_EQ(Choose(candidates, query), 1);
  EXPECT_EQ(Choose({Endpoint(kFast, 3, 0.3), Endpoint(kSlow, 2, 0.2)}, query), 0);
  EXPECT_EQ(Choose({Endpoint(kFast, 2, 0.2), Full(kSlow, milliseconds(90))}, query), 0)
      << "waiting would leave free capacity unused";
  query = Query(milliseconds(900), milliseconds(1480), milliseconds(1480));
  query.reserve_fast_endpoints = true;
  EXPECT_EQ(Choose(candidates, query), 0) << "this task needs the fast endpoint";
  EXPECT_EQ(Choose({Endpoint(1, 2, 0.2), Endpoint(1.1, 2, 0.2)},
                   Query(milliseconds(60), milliseconds(156), milliseconds(1480))),
            0)
      << "equal endpoints are not reserved";
}

TEST(TargetPlacementTest, TellsWhichTasksNeedAFastEndpoint) {
  const std::vector<Candidate> mixed{Endpoint(kFast, 2, 0.2), Endpoint(kSlow, 2, 0.2)};
  const std::vector<Candidate> equal{Endpoint(1, 2, 0.2), Endpoint(1.1, 2, 0.2)};
  const auto quote = Query(milliseconds(900), milliseconds(1480), milliseconds(1480));
  EXPECT_TRUE(NeedsFastEndpoint(mixed, quote));
  EXPECT_FALSE(NeedsFastEndpoint(equal, quote)) << "no endpoint would help";
  EXPECT_FALSE(
      NeedsFastEndpoint(mixed, Query(milliseconds(200), milliseconds(300), milliseconds(1480))));
}

// Declared run times are off by 40%, in the same direction for all tasks of a job: on a slow
// endpoint one job in five missed its deadline.
TEST(TargetPlacementTest, TaskThatMayMissItsDeadlinePrefersTheFastEndpoint) {
  const auto query = Query(milliseconds(700), milliseconds(1180), milliseconds(1480));
  EXPECT_EQ(Choose({Endpoint(kFast, 2, 0.2), Endpoint(kSlow, 2, 0.2)}, query), 0);
  EXPECT_EQ(Choose({Full(kFast, milliseconds(90)), Endpoint(kSlow, 2, 0.2)}, query), 1);
}

// If no endpoint finishes the task on time, waiting only makes it later.
TEST(TargetPlacementTest, LateTaskGoesWhereItEndsFirst) {
  const auto query = Query(milliseconds(900), milliseconds(300), milliseconds(1480));
  EXPECT_EQ(Choose({Endpoint(kSlow, 8, 0.8), Endpoint(kFast, 1, 0.1), Full(kFast, milliseconds(0))},
                   query),
            1);
}

// Guards against runs that only take capacity: the deadline would end them before their result.
TEST(TargetPlacementTest, TaskThatCannotMeetItsDeadlineIsNotStarted) {
  const auto query = Query(milliseconds(900), milliseconds(300), milliseconds(300));
  EXPECT_EQ(Choose({Endpoint(kSlow, 8, 0.8), Endpoint(kFast, 1, 0.1)}, query), std::nullopt);
}

// Guards against a fleet in which a fifth of the workers has become slow by a factor of seven: all
// others counted as fast ones, and a quarter of them was kept free of short tasks.
TEST(TargetPlacementTest, FaultyEndpointDoesNotMakeTheOthersFastOnes) {
  constexpr double kFaulty = 0.14;
  const std::vector<Candidate> candidates{Endpoint(kFaulty, 10, 1), Endpoint(1, 2, 0.2),
                                          Endpoint(1, 2, 0.2), Endpoint(1, 2, 0.2)};
  auto query = Query(milliseconds(60), milliseconds(156), milliseconds(1480));
  EXPECT_FALSE(NeedsFastEndpoint(candidates,
                                 Query(milliseconds(250), milliseconds(500), milliseconds(1480))));
  query.reserve_fast_endpoints = true;
  const auto chosen = Choose(candidates, query);
  ASSERT_TRUE(chosen);
  EXPECT_NE(*chosen, 0U);
}

Candidate Remote(Candidate candidate) {
  candidate.run_factor = 3;
  return candidate;
}

// Guards against a burst of requests about one item (hot_key): its data is on one rack, and a run
// elsewhere takes three times the time and the capacity.
TEST(TargetPlacementTest, TaskRunsNearItsDataEvenIfItHasToQueueThere) {
  auto query = Query(milliseconds(60), milliseconds(196), milliseconds(1480));
  query.may_wait_near_data = true;
  Candidate busy = Endpoint(1, 0, 0);
  busy.expected_wait = milliseconds(40);
  EXPECT_EQ(Choose({Remote(Endpoint(1, 8, 0.8)), busy}, query), 1);
  EXPECT_EQ(Choose({Remote(Endpoint(1, 2, 0.2)), Full(1, milliseconds(40))}, query), std::nullopt)
      << "only an idle endpoint has capacity for a remote run";
}

TEST(TargetPlacementTest, TaskRunsAwayFromItsDataOnIdleEndpointsOrIfNoneIsNearIt) {
  auto query = Query(milliseconds(60), milliseconds(250), milliseconds(1480));
  query.may_wait_near_data = true;
  EXPECT_EQ(Choose({Remote(Endpoint(1, 8, 0.8)), Full(1, milliseconds(240))}, query), 0);
  query.may_wait_near_data = false;
  EXPECT_EQ(Choose({Remote(Endpoint(1, 2, 0.2))}, query), 0);
}

// Guards against entries that all choose the same endpoint because they see the same speeds.
TEST(TargetPlacementTest, SimilarEndpointsAreChosenByTheirFreeCapacity) {
  const auto query = Query(milliseconds(60), milliseconds(196), milliseconds(1480));
  const std::vector<Candidate> candidates{Endpoint(1.04, 6, 0.6), Endpoint(1, 9, 0.9)};
  Random random(1);
  const PlacementHook place = MakePlacement(PlacementPolicy::kDefault);
  std::vector<int> chosen(candidates.size());
  for (int i = 0; i < 1000; ++i) {
    ++chosen.at(place(candidates, query, random).value());
  }
  EXPECT_NEAR(chosen[0], 400, 60);
  EXPECT_NEAR(chosen[1], 600, 60);
}

}  // namespace
}  // namespace quetzalvale
