/// Bounds how many lines of each event are logged.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace quetzalvale {

/// Allows a number of lines a second for each event, separately for ordinary lines and for
/// warnings, so that successes never use up the room of failures. Not thread-safe.
class LogBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// Lines that were left out since the last summary.
  struct LeftOut {
    int event = 0;
    std::uint64_t lines = 0;
  };

  LogBudget(std::uint32_t ordinary_per_s, std::uint32_t warnings_per_s)
      : ordinary_per_s(ordinary_per_s), warnings_per_s(warnings_per_s) {}

  /// Returns whether one more line of the event may be logged, and counts it.
  bool Take(int event, bool is_warning, Time now);

  /// Returns what was left out, at most once a second.
  std::vector<LeftOut> TakeLeftOut(Time now);

 private:
  struct Use {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    std::uint64_t left_out = 0;
  };

  std::uint32_t ordinary_per_s;
  std::uint32_t warnings_per_s;
  std::map<std::pair<int, bool>, Use> uses;
  std::int64_t summary_second = 0;
};

}  // namespace quetzalvale
