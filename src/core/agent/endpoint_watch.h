/// Whether the endpoint beside an agent can be given tasks.
#pragma once

#include "core/types.h"

namespace quetzalvale {

/// Down until a first check succeeds, and again from any sign of trouble until the next check that
/// succeeds. Not thread-safe.
class EndpointWatch {
 public:
  /// Whether the last check found the endpoint down.
  bool IsFoundDown() const { return this->found_down; }

  bool IsUp() const { return this->up; }

  /// A connection broke or was refused: nothing more is handed over until a check.
  void Suspect(Time now);

  /// Notes the result of a check or renewal. Returns whether a change has to be told to the
  /// entries: the endpoint was down at a check, or never checked, and is up now.
  bool Checked(bool is_up, Time now);

  /// Returns whether to check now, and counts the check as sent.
  bool TakeDue(Time now);

 private:
  bool up = false;
  /// The last completed check found the endpoint down, or there was none.
  bool found_down = true;
  bool under_way = false;
  Time sent{};
  Time due{};
  Milliseconds pause{0};
};

}  // namespace quetzalvale
