/// What every operation of quetzalvale-ctl works with.
#pragma once

#include <chrono>
#include <functional>
#include <ostream>

#include "ctl/entry_client.h"
#include "runtime/clock.h"

namespace quetzalvale {

struct Session {
  EntryClient& client;
  const Clock& clock;
  /// Waits between two attempts.
  std::function<void(std::chrono::milliseconds)> pause;
  /// Results, as JSON.
  std::ostream& out;
  /// Errors and progress.
  std::ostream& err;
};

}  // namespace quetzalvale
