/// State of an entry as shown to operators.
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
  /// Tasks of this entry that are sent to the agent and not settled.
  std::size_t outstanding = 0;
  bool leaving = false;
  bool ejected = false;
  /// Not heard for agent_lost_ms.
  bool lost = false;
  /// Belongs to this entry's subset.
  bool member = false;
  /// As the agent reported it last.
  std::uint64_t configuration_version = 0;
};

struct ServiceStatus {
  std::string service;
  /// Zero while no configuration is known.
  std::uint64_t configuration_version = 0;
  /// Versions that live peers serving the service reported last.
  std::map<Incarnation, std::uint64_t> peer_versions;
  std::vector<AgentStatus> agents;
  /// Tasks that wait at this entry.
  std::size_t queued_tasks = 0;
  std::size_t jobs_in_progress = 0;
};

/// Counts since the start of the process.
struct EntryCounters {
  std::uint64_t forwarded_submissions = 0;
  std::uint64_t salvages = 0;
  std::uint64_t withdrawals = 0;
  std::uint64_t retries = 0;
  std::uint64_t announcements_received = 0;
  std::uint64_t hellos_sent = 0;
  std::uint64_t notices_sent = 0;
  std::uint64_t jobs_complete = 0;
  /// By Answer::reason.
  std::map<std::string, std::uint64_t> jobs_failed;
  std::map<ErrorKind, std::uint64_t> jobs_refused;
  /// Tasks sent in a start, including those that the agent refused.
  std::uint64_t tasks_started = 0;
};

struct EntryStatus {
  EntryInfo self;
  bool leaving = false;
  std::uint64_t roster_number = 0;
  std::vector<ServiceStatus> services;
  std::vector<EntryInfo> peers;
  EntryCounters counters;
};

}  // namespace quetzalvale
