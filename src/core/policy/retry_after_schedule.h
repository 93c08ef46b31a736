/// Schedules when rejected callers should retry.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "core/types.h"

namespace quetzalvale {

/// Spreads the retries after a burst: callers that are rejected together and given the same time
/// would retry together and be rejected again. Each caller gets the first second that has capacity
/// left, in the order of the rejections, so that the caller rejected first retries first. Not
/// thread-safe.
class RetryAfterSchedule {
 public:
  /// Records a job that was answered with its result. The rate of these is what can be served.
  void NoteServed(Time now);

  /// Returns the time after which the next rejected caller should retry; at least one second.
  std::chrono::seconds Next(Time now);

 private:
  /// Number of callers that may retry in one second in addition to new callers.
  std::uint32_t RetriesPerSecond(std::int64_t second) const;

  /// Number of jobs answered, by second: the current and the previous one.
  std::map<std::int64_t, std::uint32_t> served;
  /// Number of callers assigned to each second.
  std::map<std::int64_t, std::uint32_t> retries_by_second;
};

}  // namespace quetzalvale
