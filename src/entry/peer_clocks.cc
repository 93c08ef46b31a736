#include "entry/peer_clocks.h"

namespace quetzalvale {

void PeerClocks::Record(const std::string& peer, Time peer_time, Time now) {
  this->offsets[peer] = peer_time - now;
}

std::optional<Time> PeerClocks::Estimate(const std::string& peer, Time now) const {
  const auto found = this->offsets.find(peer);
  return found == this->offsets.end() ? std::nullopt : std::optional(now + found->second);
}

}  // namespace quetzalvale
