/// Tasks that wait at an entry for an agent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/entry/job_table.h"
#include "core/policy/answer_target.h"
#include "core/policy/fair_queue.h"
#include "core/types.h"

namespace quetzalvale {

/// Orders waiting tasks by rank. A more urgent kind goes first, but a task overtakes all that have
/// not done so once it has waited for a fixed share of its time to deadline. Within one urgency
/// level, and among the overtaking tasks, teams get fair shares. Within one team, the earliest
/// deadline goes first, and among overtaking tasks the one that overtook first. Not thread-safe.
class StartQueue {
 public:
  struct Waiting {
    TaskRef task;
    int urgency = 0;
    std::string team;
    Time submitted{};
    Time deadline{};
    /// Expected run time at speed 1.
    Microseconds expected{0};
    /// Of tasks whose answer loses its use before the deadline.
    std::optional<StartSchedule> schedule{};
  };

  /// A job that may be submitted, for WorkAhead.
  struct Newcomer {
    int urgency = 0;
    std::string_view team;
    /// Summed expected run time of its tasks.
    Microseconds work{0};
    Time overtakes_at{};
    /// Work that the workers do until then.
    Microseconds done_until_then{0};
    /// Work that each team brings lately, as a share of what the workers do in the same time.
    std::map<std::string, double, std::less<>> arrivals;
  };

  /// The time at which a task overtakes more urgent ones.
  static Time OvertakesAt(Time submitted, Time deadline);
  /// The same for a task with a schedule: when waiting longer would make its answer late.
  static Time OvertakesAt(Time submitted, const StartSchedule& schedule);

  /// Does nothing when the task is waiting already.
  void Add(const Waiting& waiting);

  /// Lets tasks overtake whose time has come, and puts those behind all others whose answer can
  /// only be late: in an overload, work that is still of full use goes first.
  void Advance(Time now);

  /// Returns the tasks whose answer can no longer be of use, and forgets that they have a schedule.
  std::vector<TaskRef> TakeHopeless(Time now);

  /// Take is for a task that is placed and charges it to its team. Both do nothing when the task is
  /// not waiting.
  void Remove(const TaskRef& task);
  void Take(const TaskRef& task);

  std::size_t Size() const { return this->entries.size(); }

  /// Summed expected run time of the tasks that start before the last one of a new job: those that
  /// wait, and those of other teams that arrive meanwhile and pass it by their fair share.
  Microseconds WorkAhead(const Newcomer& job) const;

  /// Visits the tasks in the order in which they are placed. The task visited last may be taken or
  /// removed; other changes of the queue invalidate the walk.
  class Walk {
   public:
    explicit Walk(const StartQueue& queue);

    std::optional<TaskRef> Next();

   private:
    const StartQueue* queue;
    std::map<int, FairQueue>::const_iterator next_level;
    bool late_visited = false;
    FairQueue::Walk current;
  };

 private:
  struct Entry {
    Waiting waiting;
    FairQueue::Item item;
    enum class Stage { kLevel, kOvertaking, kLate } stage = Stage::kLevel;
  };
  struct Later {
    std::size_t tasks = 0;
    Microseconds work{0};
  };
  /// What overtakes within each step of time.
  using LaterByStep = std::map<std::int64_t, Later>;

  FairQueue& QueueOf(const Entry& entry);
  static Time OvertakesAt(const Waiting& waiting);
  void Move(Entry& entry, Entry::Stage stage, Time rank);
  void LeaveLevel(const Entry& entry);
  /// The part of WorkAhead that fair shares give.
  Microseconds FairWorkAhead(const Newcomer& job) const;
  /// Less urgent work that overtakes before the job does.
  Microseconds LaterWorkAhead(const Newcomer& job) const;
  void Erase(const TaskRef& task, bool taken);

  std::unordered_map<TaskRef, Entry> entries;
  FairQueue overtaking;
  /// Tasks whose answer can only be late, visited last.
  FairQueue late;
  /// Tasks that do not overtake yet, by urgency.
  std::map<int, FairQueue> levels;
  std::map<int, LaterByStep> later_work;
  std::set<std::pair<Time, TaskRef>> overtakes_next;
  /// Scheduled tasks by the time at which they become late, and hopeless.
  std::set<std::pair<Time, TaskRef>> late_next;
  std::set<std::pair<Time, TaskRef>> hopeless_next;
};

}  // namespace quetzalvale
