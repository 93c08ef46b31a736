#include "load/clairvoyant.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

PlannedJob Job(double at_ms, std::vector<double> runs) {
  PlannedJob job;
  job.at_ms = at_ms;
  for (const double run : runs) job.tasks.push_back({run, 0});
  return job;
}

using Jobs = std::vector<PlannedJob>;
using Endpoints = std::vector<WorkloadEndpoint>;

TEST(ClairvoyantTest, IdleEndpointGivesRunTimeAndTwoLatencies) {
  EXPECT_EQ(ClairvoyantResponses(Jobs{Job(5, {100})}, Endpoints{{1, 2}}, 1.5),
            std::vector<double>{53});
}

// Fails when a slow idle endpoint is preferred to a faster one that is soon free.
TEST(ClairvoyantTest, WaitsForTheFasterEndpointWhenThatEndsSooner) {
  const Jobs jobs{Job(0, {100}), Job(0, {100}), Job(0, {100})};
  EXPECT_EQ(ClairvoyantResponses(jobs, Endpoints{{1, 1}, {1, 0.4}}, 0),
            (std::vector<double>{100, 200, 250}));
}

// Fails when short tasks take the slots before the longest one, which then ends the job late.
TEST(ClairvoyantTest, StartsTheLongestTaskOfAJobFirst) {
  EXPECT_EQ(ClairvoyantResponses(Jobs{Job(0, {10, 10, 100})}, Endpoints{{1, 1}, {1, 0.2}}, 0),
            std::vector<double>{100});
  EXPECT_EQ(ClairvoyantResponses(Jobs{Job(0, {10, 10, 20})}, Endpoints{{2, 1}}, 0),
            std::vector<double>{20});
}

// A running task is not interrupted for a later one, however short.
TEST(ClairvoyantTest, DoesNotPreempt) {
  EXPECT_EQ(ClairvoyantResponses(Jobs{Job(0, {100}), Job(10, {1})}, Endpoints{{1, 1}}, 0),
            (std::vector<double>{100, 91}));
}

TEST(ClairvoyantTest, UsesEverySlot) {
  EXPECT_EQ(ClairvoyantResponses(Jobs{Job(0, {50, 50, 50, 50})}, Endpoints{{2, 1}, {2, 1}}, 0),
            std::vector<double>{50});
}

}  // namespace
}  // namespace quetzalvale
