/// Estimates the clocks of other processes.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/types.h"

namespace quetzalvale {

/// Keeps the last reading of each peer's clock, which came with one of its messages. Clocks of
/// different machines have nothing in common but their speed. Not thread-safe.
class PeerClocks {
 public:
  /// Records that the peer's clock read `peer_time` at or before `now`.
  void Record(const std::string& peer, Time peer_time, Time now);

  /// Returns what the peer's clock reads now, or nothing if it was never read. The result is behind
  /// by the time that the reading took to arrive.
  std::optional<Time> Estimate(const std::string& peer, Time now) const;

 private:
  std::map<std::string, Time::duration> offsets;
};

}  // namespace quetzalvale
