#include "core/policy/shedding.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

/// Least time between adjustments: the length of the window over which LagMeter takes the lag.
constexpr Milliseconds kAdjustPause{100};

/// Below this lag an entry has spare processor time; on the smallest machine it corresponds to the
/// time for a few jobs.
constexpr Milliseconds kShortLag{10};
/// From this lag on, answers are noticeably later; a target allows about 100 ms beyond the run
/// times.
constexpr Milliseconds kLongLag{25};

/// Changes of the fraction per window. It has to grow within a few windows in a burst, and it
/// declines slowly because otherwise it would oscillate.
constexpr double kGrowth = 0.2;
constexpr double kDecline = 0.03;
/// Some jobs always stay, so that the lag shows when there is spare time again.
constexpr double kLargestPart = 0.95;

/// Time for which a peer that refused a job gets no more.
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
