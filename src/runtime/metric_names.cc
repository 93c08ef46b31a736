#include "runtime/metric_names.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quetzalvale {
namespace {

constexpr auto kCatalogue = std::to_array<std::pair<std::string_view, std::string_view>>({
    {"added_answer_seconds", "Time that the entry adds between the last outcome and the answer."},
    {"added_start_seconds", "Time that the entry adds between an event and the start it causes."},
    {"agents", "Agents known to the entry, by state."},
    {"announcements_received_total", "Full announcements received from agents."},
    {"announcements_unrecorded_total", "Announcements of agents that the entry could not record."},
    {"configuration_version", "Version of the configuration in force, by service."},
    {"data_centre_evacuated", "1 while the data centre is evacuated, 0 once this was revoked."},
    {"connection_events_total", "Connections and requests refused or closed, by kind."},
    {"endpoint_requests_total", "Requests sent to the endpoint."},
    {"evacuated", "Whether the agent refuses starts because its data centre is evacuated."},
    {"evacuation_version", "Version of the store at which the evacuated data centres were read."},
    {"forwarded_submissions_total", "Jobs handed to the entry that owns their ticket."},
    {"heartbeats_total", "Announcements and heartbeats sent to entries."},
    {"hellos_sent_total", "Greetings sent to other entries."},
    {"inner_calls_sent_total", "Calls sent to other processes of the system."},
    {"job_away_seconds", "Time from the start order to the end of a job's last task."},
    {"job_run_seconds", "Run time of a job's last task at its endpoint."},
    {"job_seconds", "Time from a job's arrival to its answer."},
    {"job_wait_seconds", "Time that a job's last task waited at the entry before its start."},
    {"jobs_complete_total", "Jobs answered with all results."},
    {"jobs_failed_total", "Jobs answered as failed, by reason."},
    {"jobs_in_progress", "Jobs taken and not answered."},
    {"jobs_refused_total", "Jobs refused before any task started, by reason."},
    {"jobs_rejected_unread_total",
     "Jobs rejected before they were read, by a busy or leaving entry."},
    {"jobs_total", "Jobs taken and answered, by kind and outcome."},
    {"jobs_turned_away_total", "Jobs turned away by the selection in an overload, by reason."},
    {"lease_renewals_total", "Renewals of leases at the endpoint."},
    {"log_lines_dropped_total", "Log lines left out by the budget or a full writer."},
    {"messages_sent_total", "Messages sent to callers, endpoints and processes of the system."},
    {"messages_useful_total", "Messages that a job needs in any case."},
    {"notices_sent_total", "Notices sent to agents between heartbeats."},
    {"outcomes_repeated_total", "Outcomes sent again because no reply came."},
    {"outcomes_sent_total", "Outcomes sent to entries."},
    {"process_cpu_seconds_total", "Total user and system CPU time spent in seconds."},
    {"process_resident_memory_bytes", "Resident memory size in bytes."},
    {"queued_tasks", "Tasks that wait at the entry."},
    {"retries_total", "Starts of tasks that had been refused or had failed before."},
    {"salvages_total", "Tickets of departed entries that were settled here."},
    {"starts_refused_total", "Starts refused by the agent, by reason."},
    {"starts_repeated_total", "Start messages received a second time."},
    {"starts_total", "Tasks handed to the endpoint."},
    {"tasks_started_total", "Tasks sent to agents, refused ones included."},
    {"unexpected_errors_total", "Exceptions in the handling of single messages, see event 9002."},
    {"withdrawals_total", "Starts taken back because their reply was lost."},
});

}  // namespace

std::string_view MetricHelp(std::string_view name) {
  const auto* const found =
      std::ranges::find(kCatalogue, name, &std::pair<std::string_view, std::string_view>::first);
  return found == kCatalogue.end() ? std::string_view() : found->second;
}

}  // namespace quetzalvale
