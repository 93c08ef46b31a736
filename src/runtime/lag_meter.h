/// How long events wait for their thread.
#pragma once

#include <chrono>
#include <mutex>

namespace quetzalvale {

/// Keeps the longest wait of the last one to two windows. A process that gets too little processor
/// time shows here first, whichever of its threads is short of it. Thread-safe.
class LagMeter {
 public:
  using Time = std::chrono::steady_clock::time_point;

  static constexpr std::chrono::milliseconds kWindow{100};

  /// Notes an event that was posted and handled at these times.
  void Note(Time posted, Time handled);

  /// Returns the longest wait noted lately; zero when there was no event.
  std::chrono::steady_clock::duration Longest(Time now) const;

 private:
  void Turn(Time now) const;

  mutable std::mutex mutex;
  mutable Time window_start{};
  mutable std::chrono::steady_clock::duration current{0};
  mutable std::chrono::steady_clock::duration previous{0};
};

}  // namespace quetzalvale
