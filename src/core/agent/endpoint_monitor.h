/// Tracks whether the endpoint next to the agent can be given tasks.
#pragma once

#include "core/types.h"

namespace quetzalvale {

/// Health state of the endpoint. It is down until the first successful check, and after any sign of
/// failure until the next successful check. Not thread-safe.
class EndpointMonitor {
 public:
  /// Whether the last completed check failed. True before the first check.
  bool LastCheckFailed() const { return this->last_check_failed; }

  bool IsUp() const { return this->up; }

  /// Marks the endpoint as down until the next check, after a connection broke or was refused.
  /// Makes that check due at once.
  void MarkSuspect(Time now);

  /// Records the result of a check or lease renewal. Returns whether the entries have to be told
  /// that the endpoint is up: it is, and the check before failed or there was none.
  bool CheckCompleted(bool is_up, Time now);

  /// Returns whether a check is due, and counts it as sent.
  bool TakeDue(Time now);

 private:
  bool up = false;
  /// Whether the last completed check failed. True before the first check.
  bool last_check_failed = true;
  bool in_flight = false;
  Time sent_at{};
  Time next_check{};
  Milliseconds backoff{0};
};

}  // namespace quetzalvale
