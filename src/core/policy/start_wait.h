/// How long a new job's tasks wait for room.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace quetzalvale {

/// What an entry sees of the room for its tasks.
struct RoomView {
  /// Runs like the new job's that fit on the usable endpoints now.
  double free_runs = 0;
  /// This entry's runs under way, and their mean expected run time at speed 1.
  double own_runs = 0;
  Microseconds mean_run{0};
  /// Waiting work that starts before the new job's.
  Microseconds queued_work{0};
};

/// Returns the expected time until the last of the tasks starts. Nothing waits while there is room
/// for all; beyond that, room appears as this entry's own runs end, because what the other entries'
/// runs leave goes to their own waiting tasks.
Microseconds ExpectedWait(const RoomView& room, std::size_t tasks);

/// Whether waiting that long still gives an answer on time. `target` is the time within which the
/// answer is on time, `longest` the expected run time of the longest task. A part of the target may
/// always be waited, because declared run times are rough.
bool IsWaitAcceptable(Microseconds wait, Microseconds target, Microseconds longest);

}  // namespace quetzalvale
