/// Source of time, passed in so that tests decide what time it is.
#pragma once

#include <chrono>

namespace quetzalvale {

/// Monotonic and calendar time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time, for durations and timeouts.
  virtual std::chrono::steady_clock::time_point Now() const = 0;

  /// Calendar time, for logs and audit rows only.
  virtual std::chrono::system_clock::time_point WallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock : public Clock {
 public:
  std::chrono::steady_clock::time_point Now() const override {
    return std::chrono::steady_clock::now();
  }
  std::chrono::system_clock::time_point WallNow() const override {
    return std::chrono::system_clock::now();
  }
};

}  // namespace quetzalvale
