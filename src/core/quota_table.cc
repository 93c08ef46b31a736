#include "core/quota_table.h"

#include <algorithm>
#include <cmath>

namespace quetzalvale {
namespace {

/// Demand is averaged over about this time, several exchanges of hello between entries.
constexpr double kDemandSeconds = 5;

/// Part of the quota that is shared equally whatever the demand, so that an entry without demand
/// so far can take a team's first job.
constexpr double kEqualPart = 0.1;

double Seconds(Time from, Time to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// The bucket holds one second's worth, but at least one task.
double Capacity(double share) { return std::max(1.0, share); }

}  // namespace

void QuotaTable::SetQuota(std::string_view team, double tasks_per_second) {
  this->teams[std::string(team)].quota = tasks_per_second;
}

void QuotaTable::SetPeerDemand(const Incarnation& peer, std::string_view team,
                               double tasks_per_second) {
  this->peers.insert(peer);
  this->teams[std::string(team)].peer_demand[peer] = std::max(0.0, tasks_per_second);
}

void QuotaTable::ForgetPeer(const Incarnation& peer) {
  this->peers.erase(peer);
  for (auto& [name, team] : this->teams) {
    team.peer_demand.erase(peer);
  }
}

bool QuotaTable::TryTake(std::string_view team_name, std::uint32_t tasks, Time now) {
  Team& team = this->teams[std::string(team_name)];
  team.demand = team.demand * std::exp(-Seconds(team.demand_updated, now) / kDemandSeconds) +
                tasks / kDemandSeconds;
  team.demand_updated = now;
  if (team.quota <= 0) {
    return true;
  }
  this->Refill(team, now);
  // A job larger than the bucket is taken when the bucket is full and leaves a debt: otherwise it
  // could never run, however little the team asks for.
  if (team.tokens < std::min<double>(tasks, Capacity(this->Share(team, now)))) {
    return false;
  }
  team.tokens -= tasks;
  return true;
}

void QuotaTable::GiveBack(std::string_view team_name, std::uint32_t tasks) {
  const auto found = this->teams.find(team_name);
  if (found != this->teams.end() && found->second.quota > 0) {
    // The next refill cuts what is above the bucket's capacity.
    found->second.tokens += tasks;
  }
}

double QuotaTable::Demand(std::string_view team, Time now) const {
  const auto found = this->teams.find(team);
  if (found == this->teams.end()) {
    return 0;
  }
  return found->second.demand *
         std::exp(-Seconds(found->second.demand_updated, now) / kDemandSeconds);
}

double QuotaTable::Share(const Team& team, Time now) const {
  const double entries = static_cast<double>(this->peers.size()) + 1;
  const double own = team.demand * std::exp(-Seconds(team.demand_updated, now) / kDemandSeconds);
  double total = own;
  for (const auto& [peer, demand] : team.peer_demand) {
    total += demand;
  }
  // Every entry uses the same weights, so the shares add up to the quota.
  const double base = kEqualPart * team.quota / entries;
  return team.quota * (own + base) / (total + base * entries);
}

void QuotaTable::Refill(Team& team, Time now) {
  const double share = this->Share(team, now);
  if (!team.started) {
    team.started = true;
    team.tokens = Capacity(share);
  } else {
    team.tokens = std::min(team.tokens + share * Seconds(team.filled, now), Capacity(share));
  }
  team.filled = now;
}

}  // namespace quetzalvale
