/// When rejected callers should come back.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "core/types.h"

namespace quetzalvale {

/// Answers the pattern of a burst: callers that are rejected together and told the same time come
/// back together and are rejected again. Each is given the first second that still has room, in the
/// order of the rejections, so that who was rejected first returns first. Not thread-safe.
class ReturnSchedule {
 public:
  /// Notes a job that was answered with its result. Their rate is what can be served.
  void NoteServed(Time now);

  /// Returns after how long the next rejected caller should come back, at least a second.
  std::chrono::seconds Next(Time now);

 private:
  /// Callers that may come back in one second beside the new ones.
  std::uint32_t RoomPerSecond(std::int64_t second) const;

  /// Jobs answered, by second; the present one and the one before.
  std::map<std::int64_t, std::uint32_t> served;
  /// Callers told to come back, by second.
  std::map<std::int64_t, std::uint32_t> returning;
};

}  // namespace quetzalvale
