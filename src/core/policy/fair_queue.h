/// A queue that shares task starts fairly among teams.
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

/// Gives the next start to the team with the least started work (start-time fair queueing). Within
/// a team, the lowest rank goes first. A team does not earn credit while it has no waiting tasks.
/// All modifications take logarithmic time. Not thread-safe.
class FairQueue {
 public:
  struct Item {
    Time rank{};
    TaskRef task;
    /// Expected run time at speed 1. Must be the same in items that compare equal.
    Microseconds expected{0};

    bool operator<(const Item& other) const {
      return std::tie(this->rank, this->task) < std::tie(other.rank, other.task);
    }
  };

  /// Visits the tasks in the order in which they would start. The task returned last may be taken
  /// or removed during the walk; any other change of the queue invalidates it. Each step takes
  /// logarithmic time.
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

    /// Adds the next team not yet visited if its turn comes before those of the visited teams.
    void VisitNextTeam();

    const FairQueue* queue;
    std::set<Turn>::const_iterator next_turn;
    std::map<Turn, Position> positions;
    std::set<std::string> visited;
  };

  /// Adds a task. Precondition: the task is not waiting yet.
  void Add(const std::string& team, const Item& item);

  /// Remove a task. Take also charges its expected run time to the team. Precondition of both: the
  /// task was added for this team.
  void Remove(const std::string& team, const Item& item);
  void Take(const std::string& team, const Item& item);

  /// Total expected run time of all waiting tasks.
  Microseconds Work() const { return this->work; }

  /// Adds the total expected run time of each team's waiting tasks to `by_team`. Takes time linear
  /// in the number of teams with waiting tasks.
  void AddWork(std::map<std::string, Microseconds, std::less<>>& by_team) const;

 private:
  struct Team {
    /// Started work, in the virtual time of the queue.
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
  /// Teams with waiting tasks, and teams without any whose started work is still ahead of the
  /// virtual time.
  std::set<Turn> waiting;
  std::set<Turn> idle;
  /// Started work, before its last turn, of the team that had the last turn.
  Microseconds virtual_time{0};
  Microseconds work{0};
};

}  // namespace quetzalvale
