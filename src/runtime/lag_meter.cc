#include "runtime/lag_meter.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {

void LagMeter::Turn(Time now) const {
  if (now - this->window_start < kWindow) {
    return;
  }
  const bool next = now - this->window_start < 2 * kWindow;
  this->previous = next ? this->current : std::chrono::steady_clock::duration{0};
  this->current = {};
  this->window_start = now;
}

void LagMeter::Note(Time posted, Time handled) {
  const std::lock_guard lock(this->mutex);
  this->Turn(handled);
  this->current = std::max(this->current, handled - posted);
}

std::chrono::steady_clock::duration LagMeter::Longest(Time now) const {
  const std::lock_guard lock(this->mutex);
  this->Turn(now);
  return std::max(this->current, this->previous);
}

}  // namespace quetzalvale
