/// Whether the endpoint beside an agent can be given tasks.
#pragma once

#include "core/types.h"

namespace quetzalvale {

/// Down until a first check succeeds, and again from any sign of trouble until the next check that
/// succeeds. Not thread-safe.
class EndpointMonitor {
 public:
  /// Whether the last check found the endpoint down.
  bool LastCheckFailed() const { return this->last_check_failed; }

  bool IsUp() const { return this->up; }

  /// A connection broke or was refused: nothing more is handed over until a check.
  void MarkSuspect(Time now);

  /// Notes the result of a check or renewal. Returns whether a change has to be told to the
  /// entries: the endpoint was down at a check, or never checked, and is up now.
  bool CheckCompleted(bool is_up, Time now);

  /// Returns whether to check now, and counts the check as sent.
  bool TakeDue(Time now);

 private:
  bool up = false;
  /// The last completed check found the endpoint down, or there was none.
  bool last_check_failed = true;
  bool in_flight = false;
  Time sent_at{};
  Time next_check{};
  Milliseconds backoff{0};
};

}  // namespace quetzalvale
