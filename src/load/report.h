/// Figures of one run.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "load/job_plan.h"
#include "load/load_runner.h"
#include "load/message_counts.h"
#include "load/workload.h"

namespace quetzalvale {

/// What the run's processes say at its end.
struct RunEvidence {
  MessageCounts messages;
  std::uint64_t tasks_started = 0;
  std::uint64_t double_starts = 0;
  std::uint64_t ran_though_not_run = 0;
  /// Journals and metrics that could not be read and controls that failed; the figures are then
  /// incomplete.
  std::uint64_t unread = 0;
};

/// One measured job, so that the longest responses can be looked up.
struct JobLine {
  std::string kind;
  std::size_t tasks = 0;
  double at_ms = 0;
  /// "complete", or the reason or error of another answer.
  std::string end;
  double response_ms = 0;
  double clairvoyant_ms = 0;
};

struct LoadReport {
  std::uint64_t jobs = 0;
  std::uint64_t measured_jobs = 0;
  std::uint64_t complete = 0;
  std::map<std::string, std::uint64_t> failed;
  std::map<std::string, std::uint64_t> refused;
  std::map<std::string, std::uint64_t> no_answer;
  /// Answers of any kind that say "not run".
  std::uint64_t refused_not_run = 0;
  /// Over measured jobs with a complete answer, in milliseconds.
  double p50_response_ms = 0;
  double p99_response_ms = 0;
  /// The same jobs under the clairvoyant dispatcher.
  double p50_clairvoyant_ms = 0;
  double p99_clairvoyant_ms = 0;
  double p50_ratio = 0;
  double p99_ratio = 0;
  /// Work of jobs whose complete answer arrived in the measured time, as a share of capacity.
  double goodput = 0;
  double wasted_per_task = 0;
  double sent_per_task = 0;
  RunEvidence evidence;
  /// Answers that break a guarantee, by what is wrong, with the evidence's violations.
  std::map<std::string, std::uint64_t> violations;
  std::vector<JobLine> lines;

  std::uint64_t ViolationCount() const;

  /// Returns the JSON document.
  std::string Json(const Workload& workload, const std::string& label) const;

  /// Returns the line for standard output.
  std::string Line(const Workload& workload, const std::string& label) const;
};

/// Returns the value at the given share of the sorted samples (nearest rank); 0 without samples.
double Percentile(std::vector<double> samples, double share);

/// Precondition: `records` and `clairvoyant` have one item per job.
LoadReport Summarize(const Workload& workload, std::span<const PlannedJob> jobs,
                     std::span<const JobRecord> records, std::span<const double> clairvoyant,
                     const RunEvidence& evidence);

}  // namespace quetzalvale
