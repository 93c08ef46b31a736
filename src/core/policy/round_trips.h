/// How long the inner calls of an entry take.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "core/types.h"

namespace quetzalvale {

/// Keeps the round trips of the latest calls. Their median tells an entry that is short of
/// processor time from a few agents that do not answer. Old ones are forgotten, so that an entry
/// which takes nothing for a while tries again. Not thread-safe.
class RoundTrips {
 public:
  static constexpr std::size_t kMost = 32;
  /// Fewer calls say nothing.
  static constexpr std::size_t kLeast = 4;
  static constexpr Milliseconds kKept{400};

  void Note(Time sent, Time replied);

  /// Returns the median of the calls that were answered lately, or nothing.
  std::optional<Time::duration> Median(Time now) const;

 private:
  struct Call {
    Time replied{};
    Time::duration length{};
  };

  std::deque<Call> calls;
};

}  // namespace quetzalvale
