#include "runtime/metrics.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "runtime/metric_names.h"

namespace quetzalvale {
namespace {

std::vector<std::string> Lines(const Metrics& metrics) {
  std::istringstream text(metrics.Text());
  std::vector<std::string> lines;
  for (std::string line; std::getline(text, line);) {
    lines.push_back(line);
  }
  return lines;
}

bool Has(const std::vector<std::string>& lines, const std::string& line) {
  return std::ranges::find(lines, line) != lines.end();
}

// Guards against a page that a collector of the common exposition format cannot read.
TEST(MetricsTest, PageHasTypesHelpAndLabels) {
  Metrics metrics;
  metrics.Add("starts_total", 2);
  metrics.Add("starts_refused_total", 1, {{"reason", "busy"}});
  metrics.Set("queued_tasks", 5);
  const auto lines = Lines(metrics);
  EXPECT_TRUE(Has(lines, "# TYPE quetzalvale_starts_total counter"));
  EXPECT_TRUE(Has(lines, "# HELP quetzalvale_starts_total Tasks handed to the endpoint."));
  EXPECT_TRUE(Has(lines, "quetzalvale_starts_total 2"));
  EXPECT_TRUE(Has(lines, "quetzalvale_starts_refused_total{reason=\"busy\"} 1"));
  EXPECT_TRUE(Has(lines, "# TYPE quetzalvale_queued_tasks gauge"));
  EXPECT_EQ(metrics.Count("starts_total"), 2U);
}

// Durations were served as quantiles of single processes, which cannot be added up over processes.
TEST(MetricsTest, DurationsAreHistogramsInSeconds) {
  Metrics metrics;
  metrics.Observe("job_seconds", std::chrono::milliseconds(30), {{"outcome", "complete"}});
  metrics.Observe("job_seconds", std::chrono::milliseconds(300), {{"outcome", "complete"}});
  const auto lines = Lines(metrics);
  EXPECT_TRUE(Has(lines, "# TYPE quetzalvale_job_seconds histogram"));
  EXPECT_TRUE(Has(lines, "quetzalvale_job_seconds_bucket{outcome=\"complete\",le=\"0.05\"} 1"));
  EXPECT_TRUE(Has(lines, "quetzalvale_job_seconds_bucket{outcome=\"complete\",le=\"+Inf\"} 2"));
  EXPECT_TRUE(Has(lines, "quetzalvale_job_seconds_count{outcome=\"complete\"} 2"));
}

// A total kept elsewhere must not go down, or collectors take it for a restart.
TEST(MetricsTest, TotalsOnlyGrow) {
  Metrics metrics;
  metrics.SetTotal("process_cpu_seconds_total", 3);
  metrics.SetTotal("process_cpu_seconds_total", 2);
  EXPECT_TRUE(Has(Lines(metrics), "process_cpu_seconds_total 3"));
}

TEST(MetricsTest, NamesOutsideTheCatalogueHaveNoHelp) {
  EXPECT_EQ(MetricHelp("no_such_metric"), "");
  EXPECT_NE(MetricHelp("job_wait_seconds"), "");
}

}  // namespace
}  // namespace quetzalvale
