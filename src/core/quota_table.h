/// Quotas of teams, held across entries without the platform.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "core/types.h"

namespace quetzalvale {

/// One token bucket per team of a service, holding one second's worth of this entry's share. The
/// share follows the demand that peers report, and is an equal part among live entries until then.
/// Not thread-safe.
class QuotaTable {
 public:
  /// Sets the team's quota over all entries, in tasks per second; zero means none.
  void SetQuota(std::string_view team, double tasks_per_second);

  /// Tells how many tasks per second of the team the peer (by incarnation) is asked for.
  void SetPeerDemand(const Incarnation& peer, std::string_view team, double tasks_per_second);

  /// Forgets a peer that is gone.
  void ForgetPeer(const Incarnation& peer);

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
    std::unordered_map<Incarnation, double> peer_demand;
  };

  /// This entry's part of the team's quota, in tasks per second.
  double Share(const Team& team, Time now) const;
  void Refill(Team& team, Time now);

  std::map<std::string, Team, std::less<>> teams;
  std::unordered_set<Incarnation> peers;
};

}  // namespace quetzalvale
