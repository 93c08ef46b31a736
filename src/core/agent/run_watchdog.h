/// Ends runs whose owner or caller may have given them up.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Bounds the life of the runs of repeatable jobs. A caller whose connection broke submits its job
/// again after a known pause, to any entry, so nothing of the first submission may run by then. Its
/// owner stops the tasks when it is alive; this class names those that must end because the owner
/// has not been heard from or the job's deadline has passed. Not thread-safe.
class RunWatchdog {
 public:
  /// Time without a word from the owner after which its runs end. Together with the time that a
  /// stop takes it is well below the 1,300 ms after which callers submit again, and it outlasts two
  /// heartbeats.
  static constexpr Milliseconds kMaxOwnerSilence{700};
  /// An endpoint with one lease for all its runs gets no extension while the owner of one of them
  /// has been silent for longer than this. An agent that dies before it stops such a run leaves it
  /// for a whole lease, 816 ms by the slowest clock, and the sum has to be below 1,300 ms. It is
  /// under way again before the lease of the other runs lapses.
  static constexpr Milliseconds kMaxSilenceForRenewal{450};
  /// A stop that has had no effect is repeated after this pause.
  static constexpr Milliseconds kStopRetryInterval{200};

  /// Notes a sign of life from an owner.
  void RecordOwnerContact(const Incarnation& owner, Time now);

  /// Watches a task from its acceptance. Precondition: its owner was heard.
  void Add(const TaskKey& task, Time deadline);
  void Remove(const TaskKey& task);

  /// Returns the tasks that must end now. A task comes again until it is removed.
  std::vector<TaskKey> TakeDue(Time now);

  /// Whether an owner has been silent for so long that its runs must not be kept any longer.
  bool ForbidsLeaseRenewal(Time now) const;

  std::size_t Size() const { return this->tasks.size(); }

 private:
  struct WatchedRun {
    Time deadline{};
    Time next_stop{};
  };

  /// Whether the owner has not been heard from for this long.
  bool IsSilent(const Incarnation& owner, Time now, Milliseconds time) const;
  bool MustStop(const TaskKey& task, const WatchedRun& run, Time now) const;
  /// Forgets owners without tasks that have been silent for long.
  void ForgetIdleOwners(Time now);

  std::map<TaskKey, WatchedRun> tasks;
  std::map<Incarnation, Time> last_heard;
  Time next_cleanup{};
};

}  // namespace quetzalvale
