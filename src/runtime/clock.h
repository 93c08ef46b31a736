/// Source of time, passed in so that tests decide what time it is.
#pragma once

#include <time.h>

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
  /// CLOCK_BOOTTIME rather than the steady clock, which stands still while the machine is
  /// suspended: deadlines and leases go on meanwhile.
  std::chrono::steady_clock::time_point Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since_boot =
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return std::chrono::steady_clock::time_point(since_boot);
  }
  std::chrono::system_clock::time_point WallNow() const override {
    return std::chrono::system_clock::now();
  }
};

}  // namespace quetzalvale
