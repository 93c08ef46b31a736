#include "load/workload.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "load/job_plan.h"

namespace quetzalvale {
namespace {

constexpr char kSmall[] = R"({"name": "small", "service": "s", "seed": 3, "duration_s": 200,
  "load": 0.5, "declared_error": 10, "teams": [{"name": "a", "weight": 3}, {"name": "b"}],
  "kinds": [{"name": "k", "tasks": [{"low": 1, "high": 5}],
             "run_ms": [{"low": 10, "high": 900, "median": 100, "sigma": 0.5}]}],
  "endpoints": [{"count": 2, "slots": 4, "speed": 0.5}, {"slots": 4}]})";

Workload Parse(const std::string& text) { return std::get<Workload>(ParseWorkload(text)); }

std::string Fault(std::string text, const std::string& from, const std::string& to) {
  const auto result = ParseWorkload(text.replace(text.find(from), from.size(), to));
  return IsOk(result) ? "" : GetError(result).message;
}

// A misspelt name would silently leave a disturbance out of the experiment.
TEST(WorkloadTest, RefusesUnknownAndWrongMembers) {
  EXPECT_EQ(Fault(kSmall, "declared_error", "declared_eror").find("$.declared_eror"), 0U);
  EXPECT_EQ(Fault(kSmall, "\"sigma\"", "\"sigmas\"").find("$.kinds[0].run_ms[0].sigma"), 0U);
  EXPECT_EQ(Fault(kSmall, "\"load\": 0.5", "\"load\": 0").find("$.load"), 0U);
  EXPECT_EQ(Fault(kSmall, "\"name\": \"small\"", "\"name\": 1").find("$.name"), 0U);
  EXPECT_NE(Fault(kSmall, "{", "["), "");
}

TEST(WorkloadTest, ReadsEveryFileInWorkloads) {
  int files = 0;
  for (const auto& file : std::filesystem::directory_iterator(WORKLOADS_DIRECTORY)) {
    std::ifstream stream(file.path());
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    const auto workload = ParseWorkload(text);
    ASSERT_TRUE(IsOk(workload)) << file.path() << ": " << GetError(workload).message;
    EXPECT_EQ(std::get<Workload>(workload).name, file.path().stem());
    ++files;
  }
  EXPECT_GE(files, 9);
}

// Policies are compared on the same jobs, so a plan must not vary.
TEST(JobPlanTest, GivesTheSameJobsForOneSeed) {
  Workload workload = Parse(kSmall);
  const auto first = PlanJobs(workload);
  const auto second = PlanJobs(workload);
  ASSERT_EQ(first.size(), second.size());
  EXPECT_EQ(first.back().at_ms, second.back().at_ms);
  EXPECT_EQ(first.back().WorkMs(), second.back().WorkMs());
  workload.seed = 4;
  EXPECT_NE(PlanJobs(workload).front().at_ms, first.front().at_ms);
}

// Fails when the load is not a share of capacity, which would void every load figure.
TEST(JobPlanTest, OffersTheStatedShareOfCapacity) {
  const Workload workload = Parse(kSmall);
  EXPECT_EQ(workload.Capacity(), 8);
  double work = 0;
  for (const PlannedJob& job : PlanJobs(workload)) work += job.WorkMs();
  EXPECT_NEAR(work / (8 * 200000), 0.5, 0.03);
}

// A short run with few jobs of unequal size was off by a fifth, so its figures were those of
// another load.
TEST(JobPlanTest, OffersTheStatedShareInTheMeasurementPeriodOfEveryWorkload) {
  for (const auto& file : std::filesystem::directory_iterator(WORKLOADS_DIRECTORY)) {
    std::ifstream stream(file.path());
    Workload workload = Parse(std::string{std::istreambuf_iterator<char>(stream), {}});
    workload.bursts.clear();
    for (workload.seed = 1; workload.seed <= 20; ++workload.seed) {
      double work = 0;
      double last_ms = 0;
      for (const PlannedJob& job : PlanJobs(workload)) {
        EXPECT_GE(job.at_ms, last_ms);
        last_ms = job.at_ms;
        work += job.at_ms >= workload.warmup_s * 1000 ? job.WorkMs() : 0;
      }
      EXPECT_LT(last_ms, workload.duration_s * 1000);
      const double period_ms = (workload.duration_s - workload.warmup_s) * 1000;
      EXPECT_NEAR(work / (workload.Capacity() * period_ms), workload.load, 0.01 * workload.load)
          << file.path() << " seed " << workload.seed;
    }
  }
}

TEST(JobPlanTest, DeclaresSizesWrongInBothDirections) {
  int larger = 0;
  int smaller = 0;
  for (const PlannedJob& job : PlanJobs(Parse(kSmall))) {
    for (const PlannedTask& task : job.tasks) {
      (task.declared_ms > task.run_ms ? larger : smaller) += 1;
      const double factor = task.declared_ms / task.run_ms;
      EXPECT_NEAR(factor > 1 ? factor : 1 / factor, 10, 1e-6);
    }
  }
  EXPECT_NEAR(larger, smaller, 0.1 * larger);
}

TEST(JobPlanTest, BurstMultipliesTheRate) {
  Workload workload = Parse(kSmall);
  workload.bursts = {{50, 100, 3}};
  int inside = 0;
  int before = 0;
  for (const PlannedJob& job : PlanJobs(workload)) {
    before += job.at_ms < 50000 ? 1 : 0;
    inside += job.at_ms >= 50000 && job.at_ms < 100000 ? 1 : 0;
  }
  EXPECT_NEAR(inside, 3 * before, 0.15 * inside);
}

}  // namespace
}  // namespace quetzalvale
