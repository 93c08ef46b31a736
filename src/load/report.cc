#include "load/report.h"

#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace quetzalvale {
namespace {

void CountAnswer(const CallerAnswer& answer, LoadReport& report) {
  switch (answer.status) {
    case CallerStatus::kComplete:
      ++report.complete;
      break;
    case CallerStatus::kFailed:
      ++report.failed[answer.reason];
      break;
    case CallerStatus::kRefused:
      ++report.refused[answer.reason];
      break;
    case CallerStatus::kNoAnswer:
      ++report.no_answer[answer.reason];
      break;
  }
  if (answer.not_run) ++report.refused_not_run;
  if (!answer.violation.empty()) ++report.violations[answer.violation];
}

void AddEvidence(const RunEvidence& evidence, LoadReport& report) {
  report.evidence = evidence;
  if (evidence.double_starts > 0) report.violations["task started twice"] = evidence.double_starts;
  if (evidence.ran_though_not_run > 0) {
    report.violations["task ran although answered not run"] = evidence.ran_though_not_run;
  }
  if (evidence.tasks_started > 0) {
    const auto tasks = static_cast<double>(evidence.tasks_started);
    report.wasted_per_task = (evidence.messages.sent - evidence.messages.useful) / tasks;
    report.sent_per_task = evidence.messages.sent / tasks;
  }
}

double Round(double value) { return std::round(value * 10000) / 10000; }

template <typename Counts>
Json::Value CountsJson(const Counts& counts) {
  Json::Value object(Json::objectValue);
  for (const auto& [name, count] : counts) object[name] = static_cast<Json::UInt64>(count);
  return object;
}

Json::Value LineJson(const JobLine& line) {
  Json::Value object;
  object["kind"] = line.kind;
  object["tasks"] = static_cast<Json::UInt64>(line.tasks);
  object["at_ms"] = Round(line.at_ms);
  object["end"] = line.end;
  object["response_ms"] = Round(line.response_ms);
  object["clairvoyant_ms"] = Round(line.clairvoyant_ms);
  return object;
}

}  // namespace

double Percentile(std::vector<double> samples, double share) {
  if (samples.empty()) return 0;
  const auto rank =
      static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
  const std::size_t position = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
  const auto nth = samples.begin() + static_cast<std::ptrdiff_t>(position);
  std::nth_element(samples.begin(), nth, samples.end());
  return *nth;
}

LoadReport Summarize(const Workload& workload, std::span<const PlannedJob> jobs,
                     std::span<const JobRecord> records, std::span<const double> clairvoyant,
                     const RunEvidence& evidence) {
  LoadReport report;
  report.jobs = jobs.size();
  const double from_ms = workload.warmup_s * 1000;
  const double to_ms = workload.duration_s * 1000;
  std::vector<double> responses;
  std::vector<double> ideals;
  std::vector<double> ratios;
  double work_ms = 0;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const JobRecord& record = records[i];
    CountAnswer(record.answer, report);
    const bool complete = record.answer.status == CallerStatus::kComplete;
    if (complete && record.answered_at_ms >= from_ms && record.answered_at_ms < to_ms) {
      work_ms += jobs[i].WorkMs();
    }
    if (jobs[i].at_ms < from_ms) continue;
    ++report.measured_jobs;
    report.lines.push_back({workload.kinds[jobs[i].kind].name, jobs[i].tasks.size(), jobs[i].at_ms,
                            complete ? "complete" : record.answer.reason, record.response_ms,
                            clairvoyant[i]});
    if (!complete) continue;
    responses.push_back(record.response_ms);
    ideals.push_back(clairvoyant[i]);
    ratios.push_back(record.response_ms / std::max(clairvoyant[i], 1e-3));
  }
  report.p50_response_ms = Percentile(responses, 0.5);
  report.p99_response_ms = Percentile(responses, 0.99);
  report.p50_clairvoyant_ms = Percentile(ideals, 0.5);
  report.p99_clairvoyant_ms = Percentile(ideals, 0.99);
  report.p50_ratio = Percentile(ratios, 0.5);
  report.p99_ratio = Percentile(ratios, 0.99);
  report.goodput = work_ms / (workload.Capacity() * std::max(to_ms - from_ms, 1.0));
  AddEvidence(evidence, report);
  return report;
}

std::uint64_t LoadReport::ViolationCount() const {
  std::uint64_t count = 0;
  for (const auto& [what, times] : this->violations) count += times;
  return count;
}

std::string LoadReport::Json(const Workload& workload, const std::string& label) const {
  Json::Value root;
  root["workload"] = workload.name;
  root["policy"] = label;
  root["seed"] = static_cast<Json::UInt64>(workload.seed);
  root["jobs"] = static_cast<Json::UInt64>(this->jobs);
  root["measured_jobs"] = static_cast<Json::UInt64>(this->measured_jobs);
  root["complete"] = static_cast<Json::UInt64>(this->complete);
  root["failed"] = CountsJson(this->failed);
  root["refused"] = CountsJson(this->refused);
  root["no_answer"] = CountsJson(this->no_answer);
  root["refused_not_run"] = static_cast<Json::UInt64>(this->refused_not_run);
  root["response_ms"]["p50"] = Round(this->p50_response_ms);
  root["response_ms"]["p99"] = Round(this->p99_response_ms);
  root["clairvoyant_ms"]["p50"] = Round(this->p50_clairvoyant_ms);
  root["clairvoyant_ms"]["p99"] = Round(this->p99_clairvoyant_ms);
  root["ratio"]["p50"] = Round(this->p50_ratio);
  root["ratio"]["p99"] = Round(this->p99_ratio);
  root["goodput"] = Round(this->goodput);
  root["wasted_per_task"] = Round(this->wasted_per_task);
  root["sent_per_task"] = Round(this->sent_per_task);
  root["tasks_started"] = static_cast<Json::UInt64>(this->evidence.tasks_started);
  root["unread_sources"] = static_cast<Json::UInt64>(this->evidence.unread);
  root["violations"] = CountsJson(this->violations);
  root["jobs_measured"] = Json::Value(Json::arrayValue);
  for (const JobLine& line : this->lines) root["jobs_measured"].append(LineJson(line));
  return Json::writeString(Json::StreamWriterBuilder(), root) + "\n";
}

std::string LoadReport::Line(const Workload& workload, const std::string& label) const {
  std::ostringstream line;
  line.setf(std::ios::fixed);
  line.precision(3);
  line << workload.name << " policy=" << label << " p50_ratio=" << this->p50_ratio
       << " p99_ratio=" << this->p99_ratio << " wasted_per_task=" << this->wasted_per_task
       << " goodput=" << this->goodput << " refused_not_run=" << this->refused_not_run
       << " violations=" << this->ViolationCount();
  return line.str();
}

}  // namespace quetzalvale
