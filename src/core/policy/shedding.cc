#include "core/policy/shedding.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

/// The lag is that of a window of this length, see LagMeter.
constexpr Milliseconds kAdjustPause{100};

/// Below this an entry has processor time to spare: some jobs' worth on the smallest machine.
constexpr Milliseconds kShortLag{10};
/// From this on answers come visibly later; a target allows some 100 ms beyond the run times.
constexpr Milliseconds kLongLag{25};

/// A burst has to be shed within a few windows, and what was shed comes back slowly, or the part
/// would swing.
constexpr double kGrowth = 0.2;
constexpr double kDecline = 0.03;
/// Some jobs stay, to show when there is time again.
constexpr double kLargestPart = 0.95;

/// Time for which a peer that refused a job is left out.
constexpr Milliseconds kRefusalPause{500};

}  // namespace

void Shedding::SetPeers(std::vector<Peer> known) {
  std::erase_if(known, [this](const Peer& peer) { return peer.cores < this->cores; });
  this->peers = std::move(known);
}

void Shedding::NoteLag(Time::duration lag, Time now) {
  if (now - this->adjusted < kAdjustPause) {
    return;
  }
  this->adjusted = now;
  if (lag >= kLongLag) {
    this->part = std::min(this->part + kGrowth, kLargestPart);
  } else if (lag < kShortLag) {
    this->part = std::max(this->part - kDecline, 0.0);
  }
}

std::optional<std::string> Shedding::Choose(Time now, Random& random) {
  std::uniform_real_distribution<double> unit(0, 1);
  if (this->part <= 0 || unit(random) >= this->part) {
    return std::nullopt;
  }
  std::erase_if(this->paused, [now](const auto& item) { return item.second <= now; });
  double total = 0;
  for (const Peer& peer : this->peers) {
    total += this->paused.contains(peer.address) ? 0 : peer.cores;
  }
  double drawn = unit(random) * total;
  for (const Peer& peer : this->peers) {
    if (this->paused.contains(peer.address)) {
      continue;
    }
    drawn -= peer.cores;
    if (drawn < 0) {
      return peer.address;
    }
  }
  return std::nullopt;
}

void Shedding::NoteRefusal(const std::string& address, Time now) {
  this->paused[address] = now + kRefusalPause;
}

}  // namespace quetzalvale
