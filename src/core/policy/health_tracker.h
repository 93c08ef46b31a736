/// Ejection of endpoints that fail what they start, and probing of ejected ones.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace quetzalvale {

/// An endpoint that fails everything looks fastest, so it is ejected after consecutive failures and
/// probed with one task after a pause that doubles with each failed probe. Not thread-safe.
class HealthTracker {
 public:
  HealthTracker(std::uint32_t eject_after, Milliseconds probe_after);

  /// Changes the limits; the state of endpoints stays.
  void SetLimits(std::uint32_t new_eject_after, Milliseconds new_probe_after);

  /// Returns true when this outcome ejects the endpoint.
  bool Record(std::string_view endpoint, bool ok, Time now);

  /// Whether the endpoint takes ordinary tasks.
  bool IsAvailable(std::string_view endpoint) const;

  /// Whether the endpoint is ejected and one task may be sent to it as a probe now.
  bool MayProbe(std::string_view endpoint, Time now) const;

  /// Notes that a probe was sent; no other is due until its outcome or the next pause.
  void ProbeSent(std::string_view endpoint, Time now);

  void Forget(std::string_view endpoint);

 private:
  struct State {
    std::uint32_t consecutive_failures = 0;
    bool ejected = false;
    /// A probe was sent and its outcome is not known yet.
    bool probing = false;
    Milliseconds pause{0};
    Time next_probe{};
  };

  std::uint32_t eject_after;
  Milliseconds probe_after;
  std::map<std::string, State, std::less<>> endpoints;
};

}  // namespace quetzalvale
