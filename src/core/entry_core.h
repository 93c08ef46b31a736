/// Decision logic of an entry.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/entry_events.h"
#include "core/entry_status.h"
#include "core/placement.h"

namespace quetzalvale {

/// Turns events into actions. Owns the tickets of one entry incarnation and the jobs submitted with
/// them. Not thread-safe; `now` never goes backwards.
class EntryCore {
 public:
  /// `seed_addresses` are the inner addresses of other entries known from the settings.
  EntryCore(EntryInfo self, std::vector<std::string> services,
            std::vector<std::string> seed_addresses, std::uint64_t seed);

  std::vector<EntryAction> Handle(Time now, const EntryEvent& event);

  EntryStatus Status(Time now) const;

  /// Replaces the configured placement policy of every service, for tests.
  void SetPlacement(PlacementHook hook);

 private:
  struct Job {
    RequestId request = 0;
    Submission submission;
    std::vector<std::string> results;
    std::size_t open = 0;
  };

  void On(const JobSubmitted& event);
  void On(const TicketsRequested& event);
  void On(const AgentAnnounced& event);
  void On(const StartReplied& event);
  void On(const OutcomesReceived& event);
  void On(const HelloReceived& event);
  void On(const ConfigurationChanged& event);
  void On(const LeaveRequested& event);
  template <typename Event>
  void On(const Event& /*event*/) {}
  void Settle(const Outcome& outcome);

  EntryInfo self;
  std::vector<std::string> services;
  std::vector<std::string> seed_addresses;
  Random random;
  PlacementHook placement;
  std::uint64_t next_sequence = 1;
  std::uint64_t next_channel_sequence = 1;
  std::map<std::string, std::shared_ptr<const ServiceConfiguration>> configurations;
  std::map<Incarnation, Announce> agents;
  std::map<Ticket, Job> jobs;
  EntryCounters counters;
  bool leaving = false;
  std::vector<EntryAction> actions;
};

}  // namespace quetzalvale
