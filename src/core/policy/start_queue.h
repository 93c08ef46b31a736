/// The queue of tasks that wait at an entry for an agent.
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

/// Orders waiting tasks by priority. Tasks of a more urgent kind go first, but a task that has
/// waited for a fixed share of its time to deadline overtakes all tasks that have not done so yet.
/// Within one urgency level, and among the overtaking tasks, teams get fair shares. Within one
/// team, the earliest deadline goes first; among overtaking tasks, the one that overtook first. Not
/// thread-safe.
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
    /// Set for tasks whose answer loses its value before the deadline.
    std::optional<StartSchedule> schedule{};
  };

  /// A job whose admission is being decided, as input to WorkAhead.
  struct ProspectiveJob {
    int urgency = 0;
    std::string_view team;
    /// Total expected run time of its tasks.
    Microseconds work{0};
    Time overtakes_at{};
    /// Work that the workers complete before that time.
    Microseconds completed_before_overtaking{0};
    /// Recent arrivals of each team, as a share of the work that the workers complete in the same
    /// time.
    std::map<std::string, double, std::less<>> arrivals;
  };

  /// The time at which a task overtakes more urgent ones.
  static Time OvertakesAt(Time submitted, Time deadline);
  /// The same for a task with a schedule: shortly before a longer wait would make its answer late.
  static Time OvertakesAt(Time submitted, const StartSchedule& schedule);

  /// Adds a task; does nothing if it is already waiting.
  void Add(const Waiting& waiting);

  /// Moves tasks whose overtaking time has come ahead of the others, and tasks whose answer can
  /// only be late behind all others: in an overload, work that can still be on time goes first.
  void Advance(Time now);

  /// Returns the tasks whose answer can no longer be of use at `now`, each only once; they stay in
  /// the queue until removed.
  std::vector<TaskRef> TakeExpired(Time now);

  /// Take removes a task that was placed and charges it to its team; Remove does not charge it.
  /// Both do nothing if the task is not waiting.
  void Remove(const TaskRef& task);
  void Take(const TaskRef& task);

  std::size_t Size() const { return this->queued_tasks.size(); }

  /// Total expected run time of the tasks that start before the last task of a new job: those
  /// already waiting, and those of other teams that arrive in the meantime and start earlier
  /// because of their fair share.
  Microseconds WorkAhead(const ProspectiveJob& job) const;

  /// Visits the tasks in the order in which they are placed. The task returned last may be taken or
  /// removed during the walk; any other change of the queue invalidates it.
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
  struct QueuedTask {
    Waiting waiting;
    FairQueue::Item item;
    /// kLevel: in the queue of its urgency; kOvertaking: before all of those; kLate: after them.
    enum class Stage { kLevel, kOvertaking, kLate } stage = Stage::kLevel;
  };
  struct UpcomingWork {
    std::size_t tasks = 0;
    Microseconds work{0};
  };
  /// Work that starts overtaking in each time step.
  using UpcomingWorkByStep = std::map<std::int64_t, UpcomingWork>;

  FairQueue& QueueOf(const QueuedTask& queued);
  static Time OvertakesAt(const Waiting& waiting);
  void Move(QueuedTask& queued, QueuedTask::Stage stage, Time rank);
  void LeaveLevel(const QueuedTask& queued);
  /// The part of WorkAhead that results from fair shares.
  Microseconds FairWorkAhead(const ProspectiveJob& job) const;
  /// Less urgent work that overtakes before the job does.
  Microseconds LessUrgentWorkAhead(const ProspectiveJob& job) const;
  void Erase(const TaskRef& task, bool taken);

  std::unordered_map<TaskRef, QueuedTask> queued_tasks;
  FairQueue overtaking;
  /// Tasks whose answer can only be late; visited last.
  FairQueue late;
  /// Tasks that are not overtaking yet, by urgency.
  std::map<int, FairQueue> levels;
  std::map<int, UpcomingWorkByStep> upcoming_work;
  std::set<std::pair<Time, TaskRef>> by_overtaking_time;
  /// Tasks with a schedule, by the times after which their answer is late and of no use.
  std::set<std::pair<Time, TaskRef>> by_late_time;
  std::set<std::pair<Time, TaskRef>> by_expiry_time;
};

}  // namespace quetzalvale
