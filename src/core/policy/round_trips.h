/// Measures round trips of calls from an entry to its agents.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "core/types.h"

namespace quetzalvale {

/// Keeps the round-trip times of the latest calls. Their median distinguishes an entry that is
/// short of processor time from one with a few unresponsive agents. Old calls are dropped, so that
/// an entry which accepts nothing for a while tries again. Not thread-safe.
class RoundTrips {
 public:
  static constexpr std::size_t kMaxCalls = 32;
  /// With fewer calls, Median() returns nothing.
  static constexpr std::size_t kMinCalls = 4;
  static constexpr Milliseconds kRetention{400};

  void Note(Time sent, Time replied);

  /// Returns the median round trip of the calls that were answered within kRetention before `now`,
  /// or nothing if there are too few.
  std::optional<Time::duration> Median(Time now) const;

 private:
  struct Call {
    Time replied{};
    Time::duration length{};
  };

  std::deque<Call> calls;
};

}  // namespace quetzalvale
