/// What an entry holds for one service.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/entry/ticket_ledger.h"
#include "core/policy/arrival_rates.h"
#include "core/policy/health_tracker.h"
#include "core/policy/placement.h"
#include "core/policy/quota_table.h"
#include "core/policy/retry_budget.h"
#include "core/policy/run_time_model.h"
#include "core/policy/start_queue.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// Not thread-safe.
struct ServiceState {
  ServiceState(std::string name, const Incarnation& owner);

  /// Takes over a newer configuration. Returns false when it is not newer.
  bool Apply(std::shared_ptr<const ServiceConfiguration> newer);

  std::string name;
  /// Holds defaults with version zero until a configuration is known.
  std::shared_ptr<const ServiceConfiguration> configuration;
  TicketLedger ledger;
  StartQueue queue;
  RunTimeModel model;
  ArrivalRates arrivals;
  /// Of each configured team, with urgency 0 for all work.
  std::map<std::string, ArrivalRates, std::less<>> team_arrivals;
  QuotaTable quotas;
  HealthTracker health;
  RetryBudget retry_budget;
  PlacementHook placement;
  /// Until then, room on fast endpoints is kept for tasks that need it.
  Time keeps_fast_room_until{};
  /// When the retry budget is empty, a single placement is repeated at this time.
  Time next_trickle{};
  /// Agents of the service were added, removed or changed.
  bool members_changed = false;
  /// Some job may have lost its last possible agent.
  bool jobs_at_risk = false;

  /// The team that a caller's work is counted for. Callers could make up any number of names, so
  /// those outside the configuration share one.
  std::string CountedTeam(const std::string& team) const {
    return this->configuration->FindTeam(team) == nullptr ? std::string() : team;
  }

  bool IsConfigured() const { return this->configuration->version != 0; }
};

}  // namespace quetzalvale
