#include "core/policy/quota_table.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace quetzalvale {
namespace {

/// Time constant of the demand average; covers several hello exchanges between entries.
constexpr double kDemandTimeConstantSeconds = 5;

/// Share of the quota that is divided equally regardless of demand, so that an entry without demand
/// so far can accept a team's first job.
constexpr double kEqualShare = 0.1;

/// Bound on the age of a report when it arrives. A call is abandoned after two seconds, and a
/// report that was sent earlier may arrive later by as much.
constexpr std::chrono::seconds kExchangeTime{4};

/// A peer counts as unreachable if it has not answered for two rounds of hellos, and for at least
/// this long.
constexpr std::chrono::seconds kMinSilence{10};
constexpr int kSilentRounds = 2;

/// How long a silent peer keeps its share. Partitions last for minutes, and a peer that died and
/// whose address was not reused cannot be distinguished from one on the other side of a partition.
constexpr std::chrono::minutes kSilentRetention{10};

/// Time step in which minima of the demand are kept.
constexpr Milliseconds kMinimumStep{250};

double Seconds(Time from, Time to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// The bucket holds one second's worth, but at least one task.
double Capacity(double share) { return std::max(1.0, share); }

}  // namespace

void QuotaTable::SetQuota(std::string_view team, double tasks_per_second) {
  this->teams[std::string(team)].quota = tasks_per_second;
}

void QuotaTable::SetReportInterval(Time::duration interval) {
  this->silent_after =
      std::max<Time::duration>(kMinSilence, interval * kSilentRounds + kExchangeTime);
}

void QuotaTable::AddPeer(const Incarnation& peer, Time now) { this->peers.try_emplace(peer, now); }

void QuotaTable::SetPeerDemand(const Incarnation& peer, std::string_view team,
                               double tasks_per_second) {
  if (this->peers.contains(peer)) {
    this->teams[std::string(team)].peer_demand[peer] = std::max(0.0, tasks_per_second);
  }
}

void QuotaTable::ConfirmPeer(const Incarnation& peer, Time now) {
  if (const auto found = this->peers.find(peer); found != this->peers.end()) {
    found->second = std::max(found->second, now);
  }
}

void QuotaTable::ForgetPeer(const Incarnation& peer) {
  this->peers.erase(peer);
  for (auto& [name, team] : this->teams) {
    team.peer_demand.erase(peer);
  }
}

void QuotaTable::SetUnidentifiedPeers(std::size_t entries, Time now) {
  if (this->unidentified == 0) {
    this->unidentified_since = now;
  }
  this->unidentified = entries;
}

std::size_t QuotaTable::UnidentifiedPeers() const {
  return this->unidentified - std::min(this->unidentified, this->unidentified_expired);
}

void QuotaTable::Expire(Time now) {
  std::vector<Incarnation> silent;
  std::size_t reachable = 1;
  for (const auto& [peer, confirmed] : this->peers) {
    reachable += now - confirmed < this->silent_after ? 1 : 0;
    if (now - confirmed >= kSilentRetention) {
      silent.push_back(peer);
    }
  }
  // On the smaller side of a partition, removing the silent peers would grant the quota a second
  // time.
  if (2 * reachable <= this->peers.size() + 1 + this->UnidentifiedPeers()) {
    return;
  }
  for (const Incarnation& peer : silent) {
    this->ForgetPeer(peer);
  }
  if (now - this->unidentified_since >= kSilentRetention) {
    this->unidentified_expired = this->unidentified;
  }
}

bool QuotaTable::TryTake(std::string_view team_name, std::uint32_t tasks, Time now) {
  Team& team = this->teams[std::string(team_name)];
  const double before = DemandAt(team, now);
  this->RecordMinimum(team, before, now);
  team.demand = before + tasks / kDemandTimeConstantSeconds;
  team.demand_updated = now;
  if (team.quota <= 0) {
    return true;
  }
  this->Refill(team, now);
  // A job larger than the bucket is accepted when the bucket is full, and leaves the bucket in
  // debt. Otherwise it could never run, however little the team submits.
  if (team.tokens < std::min<double>(tasks, Capacity(this->Share(team, now)))) {
    return false;
  }
  team.tokens -= tasks;
  return true;
}

void QuotaTable::Refund(std::string_view team_name, std::uint32_t tasks) {
  const auto found = this->teams.find(team_name);
  if (found != this->teams.end() && found->second.quota > 0) {
    // The next refill removes any excess over the bucket's capacity.
    found->second.tokens += tasks;
  }
}

double QuotaTable::Demand(std::string_view team, Time now) const {
  const auto found = this->teams.find(team);
  if (found == this->teams.end()) {
    return 0;
  }
  return DemandAt(found->second, now);
}

double QuotaTable::DemandAt(const Team& team, Time now) {
  return team.demand * std::exp(-Seconds(team.demand_updated, now) / kDemandTimeConstantSeconds);
}

void QuotaTable::RecordMinimum(Team& team, double demand, Time now) const {
  // A minimum that is not below a later one is never the lowest.
  while (!team.minima.empty() && team.minima.back().second >= demand) {
    team.minima.pop_back();
  }
  // Within a step, the earlier and lower value represents both.
  if (team.minima.empty() || now - team.minima.back().first >= kMinimumStep) {
    team.minima.emplace_back(now, demand);
  }
  while (team.minima.size() > 1 &&
         now - team.minima[1].first > this->silent_after + kExchangeTime) {
    team.minima.pop_front();
  }
}

double QuotaTable::MinimumSince(const Team& team, Time from, Time now) {
  // Demand only falls between requests, so its minima are just before requests and at `now`.
  double lowest = DemandAt(team, now);
  for (const auto& [time, minimum] : team.minima) {
    if (time + kMinimumStep >= from) {
      lowest = std::min(lowest, minimum);
      break;
    }
  }
  return lowest;
}

bool QuotaTable::IsAnyPeerSilent(Time now) const {
  return std::ranges::any_of(
      this->peers, [&](const auto& element) { return now - element.second >= this->silent_after; });
}

Time QuotaTable::EarliestReportTime(Time now) const {
  Time since = now;
  for (const auto& [peer, confirmed] : this->peers) {
    since = std::min(since, confirmed);
  }
  return since - kExchangeTime;
}

double QuotaTable::Share(const Team& team, Time now) const {
  const double entries = static_cast<double>(this->peers.size() + this->UnidentifiedPeers()) + 1;
  if (this->UnidentifiedPeers() > 0 || this->IsAnyPeerSilent(now)) {
    return team.quota / entries;
  }
  const double own = this->peers.empty() ? DemandAt(team, now)
                                         : MinimumSince(team, this->EarliestReportTime(now), now);
  double total = own;
  for (const auto& [peer, demand] : team.peer_demand) {
    total += demand;
  }
  // Peers count at least what this entry claims here, and `total` contains at least what they
  // claim; therefore the shares add up to the quota or less.
  const double base = kEqualShare * team.quota / entries;
  return team.quota * (own + base) / (total + base * entries);
}

void QuotaTable::Refill(Team& team, Time now) {
  const double share = this->Share(team, now);
  if (!team.initialized) {
    team.initialized = true;
    team.tokens = Capacity(share);
  } else {
    team.tokens = std::min(team.tokens + share * Seconds(team.refilled_at, now), Capacity(share));
  }
  team.refilled_at = now;
}

}  // namespace quetzalvale
