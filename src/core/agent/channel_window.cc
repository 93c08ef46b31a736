#include "core/agent/channel_window.h"

#include <limits>

namespace quetzalvale {

bool ChannelWindow::Accept(std::uint64_t sequence) {
  const bool below = this->end > kSize && sequence < this->end - kSize;
  if (below || sequence == std::numeric_limits<std::uint64_t>::max()) {
    return false;
  }
  if (sequence >= this->end) {
    this->AdvanceTo(sequence + 1);
  }
  const auto position = static_cast<std::size_t>(sequence % kSize);
  if (this->used.test(position)) {
    return false;
  }
  this->used.set(position);
  return true;
}

void ChannelWindow::AdvanceTo(std::uint64_t new_end) {
  if (new_end - this->end >= kSize) {
    this->used.reset();
  } else {
    for (std::uint64_t sequence = this->end; sequence < new_end; ++sequence) {
      this->used.reset(static_cast<std::size_t>(sequence % kSize));
    }
  }
  this->end = new_end;
}

}  // namespace quetzalvale
