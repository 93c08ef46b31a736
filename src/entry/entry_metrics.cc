#include "entry/entry_metrics.h"

#include "core/result.h"
#include "runtime/process_usage.h"

namespace quetzalvale {
namespace {

void AddProcess(Metrics& metrics) {
  const ProcessUsage usage = ReadProcessUsage();
  metrics.Set("process_cpu_seconds_total", usage.cpu_seconds);
  metrics.Set("process_resident_memory_bytes", static_cast<double>(usage.resident_bytes));
}

void AddCounters(Metrics& metrics, const EntryCounters& counters) {
  const auto set = [&metrics](const std::string& name, std::uint64_t value) {
    metrics.Set(name, static_cast<double>(value));
  };
  set("forwarded_submissions_total", counters.forwarded_submissions);
  set("salvages_total", counters.salvages);
  set("withdrawals_total", counters.withdrawals);
  set("retries_total", counters.retries);
  set("announcements_received_total", counters.announcements_received);
  set("hellos_sent_total", counters.hellos_sent);
  set("notices_sent_total", counters.notices_sent);
  set("jobs_complete_total", counters.jobs_complete);
  set("tasks_started_total", counters.tasks_started);
  for (const auto& [reason, count] : counters.jobs_failed) {
    set("jobs_failed_" + reason + "_total", count);
  }
  for (const auto& [kind, count] : counters.jobs_refused) {
    set(std::string("jobs_refused_") + ErrorKindText(kind) + "_total", count);
  }
}

}  // namespace

std::string RenderMetrics(Metrics& metrics, const EntryStatus& status,
                          std::uint64_t messages_sent) {
  AddProcess(metrics);
  AddCounters(metrics, status.counters);
  double queued = 0;
  double jobs = 0;
  for (const auto& service : status.services) {
    queued += static_cast<double>(service.queued_tasks);
    jobs += static_cast<double>(service.jobs_in_progress);
  }
  metrics.Set("queued_tasks", queued);
  metrics.Set("jobs_in_progress", jobs);
  metrics.Set("messages_sent_total", static_cast<double>(messages_sent));
  return metrics.Text();
}

}  // namespace quetzalvale
