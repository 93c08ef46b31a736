#include "entry/entry_metrics.h"

#include <map>

#include "core/result.h"
#include "http/connection_report.h"
#include "runtime/process_usage.h"

namespace quetzalvale {
namespace {

void AddCounters(Metrics& metrics, const EntryCounters& counters) {
  const auto set = [&metrics](const char* name, std::uint64_t value,
                              const Metrics::Labels& labels = {}) {
    metrics.SetTotal(name, static_cast<double>(value), labels);
  };
  set("forwarded_submissions_total", counters.forwarded_submissions);
  set("salvages_total", counters.salvages);
  set("withdrawals_total", counters.withdrawals);
  set("retries_total", counters.retries);
  set("announcements_received_total", counters.announcements_received);
  set("announcements_unrecorded_total", counters.announcements_unrecorded);
  set("hellos_sent_total", counters.hellos_sent);
  set("notices_sent_total", counters.notices_sent);
  set("jobs_complete_total", counters.jobs_complete);
  set("tasks_started_total", counters.tasks_started);
  for (const auto& [reason, count] : counters.jobs_failed) {
    set("jobs_failed_total", count, {{"reason", reason}});
  }
  for (const auto& [reason, count] : counters.jobs_turned_away) {
    set("jobs_turned_away_total", count, {{"reason", reason}});
  }
  for (const auto& [kind, count] : counters.jobs_refused) {
    set("jobs_refused_total", count, {{"reason", ErrorKindText(kind)}});
  }
}

/// Counts the agents of all services by what this entry believes of them.
void AddAgents(Metrics& metrics, const EntryStatus& status) {
  std::map<std::string, double> states{
      {"in_use", 0}, {"leaving", 0}, {"ejected", 0}, {"lost", 0}, {"evacuated", 0}};
  for (const auto& service : status.services) {
    for (const auto& agent : service.agents) {
      const char* state = agent.leaving     ? "leaving"
                          : agent.lost      ? "lost"
                          : agent.evacuated ? "evacuated"
                          : agent.ejected   ? "ejected"
                                            : "in_use";
      ++states[state];
    }
  }
  for (const auto& [state, count] : states) {
    metrics.Set("agents", count, {{"state", state}});
  }
}

void AddEvacuations(Metrics& metrics, const EntryStatus& status) {
  metrics.Set("evacuation_version", static_cast<double>(status.evacuations.version));
  for (const std::string& name : status.evacuations_revoked) {
    metrics.Set("data_centre_evacuated", 0, {{"data_centre", name}});
  }
  for (const std::string& name : status.evacuations.data_centres) {
    metrics.Set("data_centre_evacuated", 1, {{"data_centre", name}});
  }
}

}  // namespace

std::string RenderMetrics(Metrics& metrics, const EntryStatus& status,
                          std::uint64_t messages_sent) {
  ReportProcess(metrics);
  ReportConnections(*ConnectionTable::OfProcess(), metrics);
  AddCounters(metrics, status.counters);
  AddAgents(metrics, status);
  AddEvacuations(metrics, status);
  double queued = 0;
  double jobs = 0;
  for (const auto& service : status.services) {
    queued += static_cast<double>(service.queued_tasks);
    jobs += static_cast<double>(service.jobs_in_progress);
    metrics.Set("configuration_version", static_cast<double>(service.configuration_version),
                {{"service", service.service}});
  }
  metrics.Set("queued_tasks", queued);
  metrics.Set("jobs_in_progress", jobs);
  metrics.SetTotal("messages_sent_total", static_cast<double>(messages_sent));
  return metrics.Text();
}

}  // namespace quetzalvale
