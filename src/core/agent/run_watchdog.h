/// Finds the runs of repeatable jobs that their owner or caller may have given up.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Bounds the life of the runs of repeatable jobs. A caller whose connection broke submits its job
/// again after a known delay, to any entry, and no run of the first submission may last until then.
/// The owner stops its runs if it is alive. This class returns the runs that the agent has to stop
/// because their owner withdrew them or is silent, or because the job's deadline has passed. It
/// returns them again until they have ended, because a worker may leave a stop unanswered. Not
/// thread-safe.
class RunWatchdog {
 public:
  /// Runs are stopped after their owner has been silent for this long. Longer than two heartbeat
  /// intervals. With the time that a stop takes, well below the 1,300 ms after which callers submit
  /// again.
  static constexpr Milliseconds kMaxOwnerSilence{700};
  /// If the endpoint has one lease for all runs, it is not renewed while the owner of any run has
  /// been silent for this long. If the agent dies before it stops such a run, the run lasts for
  /// another whole lease, which is 816 ms by the slowest clock; the sum has to stay below 1,300 ms.
  /// Renewal resumes before the lease of the other runs expires.
  static constexpr Milliseconds kMaxSilenceForRenewal{450};
  /// Interval at which a stop is repeated until the run has ended.
  static constexpr Milliseconds kStopRetryInterval{200};
  /// If the endpoint has one lease for all runs, it is not renewed while a run goes on for this
  /// long after it had to end, so that it ends with the lease even if no stop reaches the worker.
  /// Longer than the first stop and its repetition take. With a whole lease, 1,116 ms, well below
  /// the 1,300 ms after which callers submit again; renewal resumes before the lease of the other
  /// runs expires.
  static constexpr Milliseconds kMaxStopTimeForRenewal{300};

  /// Why a run has to end.
  enum class Reason { kWithdrawn, kDeadline, kOwnerSilent };

  /// A run to stop now.
  struct DueStop {
    TaskKey task;
    Reason reason = Reason::kWithdrawn;
    /// Number of stops of the run, with this one.
    int stops = 0;
  };

  /// Records that the owner was alive and heard this agent at `time`. Earlier times than the last
  /// one have no effect.
  void RecordOwnerContact(const Incarnation& owner, Time time);

  /// Adds a task when it is accepted. Precondition: its owner's contact was recorded.
  void Add(const TaskKey& task, Time deadline);
  /// Records that the owner withdrew the task, so that its run has to end from now on. The task
  /// need not have been added.
  void Withdraw(const TaskKey& task, Time now);
  /// Removes the task. No effect if it was not added.
  void Remove(const TaskKey& task);

  /// Returns the runs to stop now. A run is returned again after kStopRetryInterval, until it is
  /// removed.
  std::vector<DueStop> TakeDue(Time now);

  /// Returns when the owner will have been silent for kMaxSilenceForRenewal. Precondition: its
  /// contact was recorded.
  Time RenewalLimit(const Incarnation& owner) const {
    return this->last_heard.at(owner) + kMaxSilenceForRenewal;
  }

  /// Whether leases must not be renewed, because the owner of some run has been silent for
  /// kMaxSilenceForRenewal or some run had to end kMaxStopTimeForRenewal ago.
  bool ForbidsLeaseRenewal(Time now) const;

  /// Whether the owner has been silent for at least `time`, or was never heard from.
  bool IsSilent(const Incarnation& owner, Time now, Milliseconds time) const;

  std::size_t Size() const { return this->tasks.size(); }

 private:
  struct WatchedRun {
    Time deadline{};
    std::optional<Time> withdrawn;
    Time next_stop{};
    int stops = 0;
  };

  /// Returns why the run has to end now, or nothing if it may go on.
  std::optional<Reason> ReasonToStop(const TaskKey& task, const WatchedRun& run, Time now) const;
  /// Removes owners without tasks that have long been silent.
  void ForgetIdleOwners(Time now);

  std::map<TaskKey, WatchedRun> tasks;
  std::map<Incarnation, Time> last_heard;
  Time next_cleanup{};
};

}  // namespace quetzalvale
