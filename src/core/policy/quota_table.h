/// Quotas of teams, held across entries without the platform.
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

/// One token bucket per team of a service, holding one second's worth of this entry's share. The
/// share follows demand: an entry claims only the demand that all its peers have been told of, and
/// counts all the demand that it was told of, so that the shares of entries which exchange reports
/// never add up to more than the quota, however long an exchange takes. An entry that has no
/// exchange with some peer for a while falls back to an equal part. The bound is in docs/design.md,
/// section 6. Not thread-safe.
class QuotaTable {
 public:
  /// Sets the team's quota over all entries, in tasks per second; zero means none.
  void SetQuota(std::string_view team, double tasks_per_second);

  /// Tells the time in which every peer gets a report. A peer counts as silent after two rounds, or
  /// ten seconds if that is longer.
  void SetRound(Time::duration round);

  /// Notes a peer, by incarnation. It counts from now on until it is forgotten.
  void AddPeer(const Incarnation& peer, Time now);

  /// Tells how many tasks per second of the team the peer is asked for. Ignored for a peer that was
  /// not added.
  void SetPeerDemand(const Incarnation& peer, std::string_view team, double tasks_per_second);

  /// Notes that the peer answered a report of this entry's demand just now.
  void ConfirmPeer(const Incarnation& peer, Time now);

  /// Forgets a peer that is known to be gone.
  void ForgetPeer(const Incarnation& peer);

  /// Tells how many entries are known only by an address at which none was heard. They count as
  /// silent peers.
  void SetUnheard(std::size_t entries, Time now);

  /// Forgets peers and addresses that have been silent for ten minutes, if most entries are heard.
  void Expire(Time now);

  /// Takes `tasks` tokens if they are there. Counts as demand either way.
  bool TryTake(std::string_view team, std::uint32_t tasks, Time now);

  /// Returns tokens of a job that was refused for another reason.
  void GiveBack(std::string_view team, std::uint32_t tasks);

  /// Tasks per second of the team that this entry was asked for lately.
  double Demand(std::string_view team, Time now) const;

 private:
  struct Team {
    double quota = 0;
    double tokens = 0;
    Time filled{};
    bool started = false;
    double demand = 0;
    Time demand_updated{};
    /// Lowest demand in each step of time up to the last request, from the oldest; values rise.
    std::deque<std::pair<Time, double>> lows;
    std::unordered_map<Incarnation, double> peer_demand;
  };

  static double DemandAt(const Team& team, Time now);
  void NoteLow(Team& team, double demand, Time now) const;
  /// Lowest demand at any time since `from`.
  static double LowestSince(const Team& team, Time from, Time now);
  std::size_t Unheard() const;
  bool IsSilent(Time now) const;
  /// Start of the time in which some peer may have been told this entry's demand last.
  Time ToldSince(Time now) const;
  /// This entry's part of the team's quota, in tasks per second.
  double Share(const Team& team, Time now) const;
  void Refill(Team& team, Time now);

  /// A peer without an answer for this long counts as cut off.
  Time::duration silent_after = std::chrono::seconds(10);
  std::map<std::string, Team, std::less<>> teams;
  /// When each peer last answered a report, or was added.
  std::unordered_map<Incarnation, Time> peers;
  std::size_t unheard = 0;
  Time unheard_since{};
  /// Addresses that were silent for so long that they no longer count.
  std::size_t unheard_forgotten = 0;
};

}  // namespace quetzalvale
