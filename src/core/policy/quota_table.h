/// Enforces team quotas across entries without the platform.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/types.h"

namespace quetzalvale {

/// One token bucket per team of a service. A bucket holds one second's worth of this entry's share
/// of the quota. Shares follow demand: an entry claims only the demand that all its peers have been
/// told of, and counts all peer demand that it has been told of. Therefore the shares of entries
/// that exchange reports never add up to more than the quota, however long an exchange takes. An
/// entry that has had no exchange with some peer for a while falls back to an equal share. The
/// bound is derived in docs/design.md, section 6. Not thread-safe.
class QuotaTable {
 public:
  /// Sets the team's quota over all entries, in tasks per second. Zero means unlimited.
  void SetQuota(std::string_view team, double tasks_per_second);

  /// Sets the interval at which every peer gets a report. A peer counts as silent after two
  /// intervals and the time of an exchange, but not before ten seconds.
  void SetReportInterval(Time::duration interval);

  /// Adds a peer, identified by its incarnation. It counts until it is removed.
  void AddPeer(const Incarnation& peer, Time now);

  /// Sets the peer's demand for the team, in tasks per second. Ignored for a peer that was not
  /// added.
  void SetPeerDemand(const Incarnation& peer, std::string_view team, double tasks_per_second);

  /// Records that the peer has just answered a report of this entry's demand.
  void ConfirmPeer(const Incarnation& peer, Time now);

  /// Removes a peer that is known to be gone.
  void ForgetPeer(const Incarnation& peer);

  /// Sets the number of entries that are known only by an address from which nothing has been
  /// received. They count as silent peers.
  void SetUnidentifiedPeers(std::size_t entries, Time now);

  /// Removes peers and addresses that have been silent for ten minutes, if most entries can be
  /// reached.
  void Expire(Time now);

  /// Takes `tasks` tokens if they are available. Counts as demand in either case.
  bool TryTake(std::string_view team, std::uint32_t tasks, Time now);

  /// Returns the tokens of a job that was rejected for another reason.
  void Refund(std::string_view team, std::uint32_t tasks);

  /// Recent demand for the team at this entry, in tasks per second.
  double Demand(std::string_view team, Time now) const;

 private:
  struct Team {
    double quota = 0;
    double tokens = 0;
    Time refilled_at{};
    bool initialized = false;
    double demand = 0;
    Time demand_updated{};
    /// Lowest demand in each time step up to the last request, oldest first; values increase.
    std::deque<std::pair<Time, double>> minima;
    std::unordered_map<Incarnation, double> peer_demand;
  };

  static double DemandAt(const Team& team, Time now);
  void RecordMinimum(Team& team, double demand, Time now) const;
  /// Lowest demand at any time since `from`.
  static double MinimumSince(const Team& team, Time from, Time now);
  std::size_t UnidentifiedPeers() const;
  bool IsAnyPeerSilent(Time now) const;
  /// Earliest time from which the latest demand report received by some peer may date.
  Time EarliestReportTime(Time now) const;
  /// This entry's share of the team's quota, in tasks per second.
  double Share(const Team& team, Time now) const;
  void Refill(Team& team, Time now);

  /// A peer that has not answered for this long counts as unreachable.
  Time::duration silent_after = std::chrono::seconds(10);
  std::map<std::string, Team, std::less<>> teams;
  /// Time at which each peer last answered a report, or was added.
  std::unordered_map<Incarnation, Time> peers;
  std::size_t unidentified = 0;
  Time unidentified_since{};
  /// Number of addresses that have been silent for so long that they no longer count.
  std::size_t unidentified_expired = 0;
};

}  // namespace quetzalvale
