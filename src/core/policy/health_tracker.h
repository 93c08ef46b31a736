/// Ejects endpoints that keep failing tasks, and probes ejected ones.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace quetzalvale {

/// Ejects an endpoint after a number of consecutive failures, because an endpoint that fails every
/// task looks like the fastest one. An ejected endpoint is probed with one task after a pause,
/// which doubles with each failed probe. Not thread-safe.
class HealthTracker {
 public:
  HealthTracker(std::uint32_t eject_after, Milliseconds probe_after);

  /// Changes the limits; the state of endpoints is kept.
  void SetLimits(std::uint32_t new_eject_after, Milliseconds new_probe_after);

  /// Records the outcome of a task. Returns true if it ejects the endpoint.
  bool Record(std::string_view endpoint, bool ok, Time now);

  /// Whether the endpoint may get ordinary tasks.
  bool IsAvailable(std::string_view endpoint) const;

  /// Whether the endpoint is ejected and one task may be sent to it as a probe now.
  bool MayProbe(std::string_view endpoint, Time now) const;

  /// Records that a probe was sent; the next one is due after its outcome or after the next pause.
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
