#include "core/agent/channel_table.h"

#include <utility>

namespace quetzalvale {

bool ChannelTable::Accept(const Incarnation& owner, std::uint64_t sequence, Time now) {
  if (this->closed.contains(owner)) {
    return false;
  }
  if (!this->open.contains(owner) && !this->MakeRoom()) {
    return false;
  }
  Channel& channel = this->open[owner];
  channel.last_heard = now;
  return channel.window.Accept(sequence);
}

std::vector<Incarnation> ChannelTable::TakeClosed() {
  return std::exchange(this->newly_closed, {});
}

bool ChannelTable::MakeRoom() {
  if (this->open.size() < this->limits.open) {
    return true;
  }
  if (this->closed.size() >= this->limits.closed) {
    return false;
  }
  auto oldest = this->open.end();
  for (auto it = this->open.begin(); it != this->open.end(); ++it) {
    const bool older =
        oldest == this->open.end() || it->second.last_heard < oldest->second.last_heard;
    if (older && this->may_close(it->first)) {
      oldest = it;
    }
  }
  if (oldest == this->open.end()) {
    return false;
  }
  this->closed.insert(oldest->first);
  this->newly_closed.push_back(oldest->first);
  this->open.erase(oldest);
  return true;
}

}  // namespace quetzalvale
