/// Pauses between attempts at the platform.
#pragma once

#include <algorithm>
#include <chrono>
#include <thread>

namespace quetzalvale {

/// Limits a sequence of attempts to a total time, with doubling pauses. Not thread-safe.
class Attempts {
 public:
  explicit Attempts(std::chrono::milliseconds total)
      : deadline(std::chrono::steady_clock::now() + total) {}

  /// Pauses and returns true if there is time for another attempt.
  bool Again() {
    if (std::chrono::steady_clock::now() + this->pause >= this->deadline) {
      return false;
    }
    std::this_thread::sleep_for(this->pause);
    this->pause = std::min(this->pause * 2, kLongestPause);
    return true;
  }

 private:
  static constexpr std::chrono::milliseconds kFirstPause{20};
  static constexpr std::chrono::milliseconds kLongestPause{500};

  std::chrono::steady_clock::time_point deadline;
  std::chrono::milliseconds pause = kFirstPause;
};

}  // namespace quetzalvale
