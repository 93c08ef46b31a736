/// The state that an entry holds for one service.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/entry/ticket_ledger.h"
#include "core/policy/arrival_rates.h"
#include "core/policy/estimate_renewal.h"
#include "core/policy/health_tracker.h"
#include "core/policy/overload_policy.h"
#include "core/policy/placement.h"
#include "core/policy/quota_table.h"
#include "core/policy/retry_budget.h"
#include "core/policy/run_time_model.h"
#include "core/policy/start_queue.h"
#include "core/policy/start_rate.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// Configuration, tickets, queued tasks and policy state of one service. Not thread-safe.
struct ServiceState {
  ServiceState(std::string name, const Incarnation& owner);

  /// Applies a configuration. Returns false, and changes nothing, unless its version is newer.
  bool Apply(std::shared_ptr<const ServiceConfiguration> newer);

  std::string name;
  /// Never null; the defaults, with version zero, until a configuration is received.
  std::shared_ptr<const ServiceConfiguration> configuration;
  TicketLedger ledger;
  StartQueue queue;
  RunTimeModel model;
  ArrivalRates arrivals;
  /// Arrival rates of each configured team, all recorded under urgency 0.
  std::map<std::string, ArrivalRates, std::less<>> team_arrivals;
  QuotaTable quotas;
  HealthTracker health;
  RetryBudget retry_budget;
  EstimateRenewal renewal;
  PlacementHook placement;
  /// Until then, capacity of fast endpoints is reserved for tasks that need it.
  Time fast_slots_reserved_until{};
  /// No tasks are placed before this time, because many could not be placed in the last round.
  Time next_placement{};
  /// Selection of jobs in an overload.
  OverloadPolicy overload;
  StartRate start_rate;
  /// Incarnations of the endpoints that `health` and `model` have learned about, by agent name.
  std::map<std::string, std::uint64_t> endpoints;
  /// Expected run time of the tasks placed since the last call of StartRate::RecordRound, less that
  /// of tasks whose start was refused.
  Microseconds placed_work{0};
  Time last_selection{};
  Time next_selection{};
  /// While the retry budget is empty, one placement may be retried at this time.
  Time next_unbudgeted_retry{};
  /// Agents of the service were added, removed or changed since the members were last chosen.
  bool members_changed = false;
  /// Some job may have no agent left that it could use.
  bool jobs_at_risk = false;

  /// Returns the team name under which a caller's work is accounted. Names outside the
  /// configuration share the empty one, so that callers cannot create any number of records.
  std::string AccountingTeam(const std::string& team) const {
    return this->configuration->FindTeam(team) == nullptr ? std::string() : team;
  }

  /// Records which incarnation of the endpoint the named agent serves, zero if it is not known.
  /// Forgets what was learned about another one: a crash of it would eject the next.
  void SetEndpoint(const std::string& agent, std::uint64_t incarnation);

  /// Forgets what was learned about the endpoint of the named agent.
  void ForgetEndpoint(const std::string& agent);

  bool IsConfigured() const { return this->configuration->version != 0; }
};

}  // namespace quetzalvale
