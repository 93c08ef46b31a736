/// State of an entry as reported to operators.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/result.h"

namespace quetzalvale {

struct AgentStatus {
  std::string name;
  Incarnation incarnation;
  std::string address;
  /// Tasks of this entry that were placed on the agent and whose outcome is not known yet.
  std::size_t outstanding = 0;
  bool leaving = false;
  bool ejected = false;
  /// Considered lost: silent for agent_lost_ms, scaled to its heartbeat interval, or a liveness
  /// check has been unanswered for agent_lost_ms.
  bool lost = false;
  /// Belongs to the subset of agents that this entry uses.
  bool member = false;
  /// Takes no starts because its data centre is evacuated.
  bool evacuated = false;
  /// Version in the agent's last report.
  std::uint64_t configuration_version = 0;
};

struct ServiceStatus {
  std::string service;
  /// Zero while no configuration is known.
  std::uint64_t configuration_version = 0;
  /// Versions last reported by the live peers that serve the service.
  std::map<Incarnation, std::uint64_t> peer_versions;
  std::vector<AgentStatus> agents;
  /// Tasks waiting at this entry to be placed.
  std::size_t queued_tasks = 0;
  std::size_t jobs_in_progress = 0;
};

/// Counters since the start of the process.
struct EntryCounters {
  std::uint64_t forwarded_submissions = 0;
  std::uint64_t salvages = 0;
  std::uint64_t withdrawals = 0;
  std::uint64_t retries = 0;
  std::uint64_t announcements_received = 0;
  std::uint64_t announcements_unrecorded = 0;
  std::uint64_t hellos_sent = 0;
  std::uint64_t notices_sent = 0;
  std::uint64_t jobs_complete = 0;
  /// Keyed by Answer::reason.
  std::map<std::string, std::uint64_t> jobs_failed;
  std::map<ErrorKind, std::uint64_t> jobs_refused;
  /// Jobs turned away by the selection in an overload, by reason; also in jobs_refused.
  std::map<std::string, std::uint64_t> jobs_turned_away;
  /// Tasks sent in start messages, including those that the agent refused.
  std::uint64_t tasks_started = 0;
};

struct EntryStatus {
  EntryInfo self;
  bool leaving = false;
  std::uint64_t roster_number = 0;
  std::vector<ServiceStatus> services;
  std::vector<EntryInfo> peers;
  EvacuationSet evacuations{};
  /// Data centres whose evacuation was revoked while this process ran.
  std::vector<std::string> evacuations_revoked{};
  EntryCounters counters;
};

}  // namespace quetzalvale
