#include "core/agent/channel_table.h"

#include <utility>

namespace quetzalvale {

bool ChannelTable::Accept(const Incarnation& owner, std::uint64_t sequence, Time now) {
  if (this->closed_owners.contains(owner)) {
    return false;
  }
  if (!this->open_channels.contains(owner) && !this->MakeRoom()) {
    return false;
  }
  Channel& channel = this->open_channels[owner];
  channel.last_heard = now;
  return channel.window.Accept(sequence);
}

std::vector<Incarnation> ChannelTable::TakeClosed() {
  return std::exchange(this->newly_closed, {});
}

bool ChannelTable::MakeRoom() {
  if (this->open_channels.size() < this->limits.open_channels) {
    return true;
  }
  if (this->closed_owners.size() >= this->limits.closed_owners) {
    return false;
  }
  auto oldest = this->open_channels.end();
  for (auto it = this->open_channels.begin(); it != this->open_channels.end(); ++it) {
    const bool older =
        oldest == this->open_channels.end() || it->second.last_heard < oldest->second.last_heard;
    if (older && this->may_close(it->first)) {
      oldest = it;
    }
  }
  if (oldest == this->open_channels.end()) {
    return false;
  }
  this->closed_owners.insert(oldest->first);
  this->newly_closed.push_back(oldest->first);
  this->open_channels.erase(oldest);
  return true;
}

}  // namespace quetzalvale
