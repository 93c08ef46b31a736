/// Waiting tasks of several teams, in fair shares.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "core/entry/job_table.h"
#include "core/types.h"

namespace quetzalvale {

/// Gives the next start to the team whose started work is least (start-time fair queueing); within
/// a team, the lowest rank goes first. A team without waiting tasks earns no credit. All changes
/// take logarithmic time. Not thread-safe.
class FairQueue {
 public:
  struct Item {
    Time rank{};
    TaskRef task;
    /// Expected run time at speed 1. Tasks that compare equal have the same.
    Microseconds expected{0};

    bool operator<(const Item& other) const {
      return std::tie(this->rank, this->task) < std::tie(other.rank, other.task);
    }
  };

  /// Visits the tasks in the order in which they would start. The task visited last may be taken or
  /// removed; other changes of the queue invalidate the walk. A step takes logarithmic time.
  class Walk {
   public:
    explicit Walk(const FairQueue& queue);

    std::optional<TaskRef> Next();

   private:
    using Turn = std::pair<Microseconds, std::string_view>;

    struct Position {
      const std::set<Item>* items = nullptr;
      std::set<Item>::const_iterator next;
    };

    /// Adds the first team not visited yet, if its turn comes before those of the visited ones.
    void VisitNextTeam();

    const FairQueue* queue;
    std::set<Turn>::const_iterator next_turn;
    std::map<Turn, Position> positions;
    std::set<std::string> visited;
  };

  /// Adds a task that is not waiting yet.
  void Add(const std::string& team, const Item& item);

  /// Precondition of both: the task was added for this team. Take also charges its work to the
  /// team.
  void Remove(const std::string& team, const Item& item);
  void Take(const std::string& team, const Item& item);

  /// Summed expected run time of all waiting tasks.
  Microseconds Work() const { return this->work; }

  /// Adds each team's summed expected run time. Takes time linear in the number of waiting teams.
  void AddWork(std::map<std::string, Microseconds, std::less<>>& by_team) const;

 private:
  struct Team {
    /// Work started, in the queue's virtual time.
    Microseconds started{0};
    Microseconds work{0};
    std::set<Item> items;
  };
  using Teams = std::map<std::string, Team, std::less<>>;
  /// Started work and name of a team; the name is a key of `teams`.
  using Turn = std::pair<Microseconds, std::string_view>;

  void Charge(Teams::iterator team, Microseconds expected);
  void ForgetIdleTeams();

  Teams teams;
  /// Teams with waiting tasks, and teams without that are still ahead of the others.
  std::set<Turn> waiting;
  std::set<Turn> idle;
  /// Started work of the team that had the last turn, before it.
  Microseconds virtual_time{0};
  Microseconds work{0};
};

}  // namespace quetzalvale
