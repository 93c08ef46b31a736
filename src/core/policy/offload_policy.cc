#include "core/policy/offload_policy.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

/// Least time between adjustments: the length of the window over which LagMeter takes the lag.
constexpr Milliseconds kAdjustInterval{100};

/// Below this lag an entry has spare processor time; on the smallest machine it corresponds to the
/// time for a few jobs.
constexpr Milliseconds kLowLag{10};
/// From this lag on, answers are noticeably later; a target allows about 100 ms beyond the run
/// times.
constexpr Milliseconds kHighLag{25};

/// Changes of the fraction per window. It has to grow within a few windows in a burst, and it
/// declines slowly because otherwise it would oscillate.
constexpr double kGrowth = 0.2;
constexpr double kDecline = 0.03;
/// Some jobs always stay, so that the lag shows when there is spare time again.
constexpr double kMaxFraction = 0.95;

/// Time for which a peer that refused a job gets no more.
constexpr Milliseconds kRefusalPause{500};
/// The longest time for which a peer that does not respond gets no jobs.
constexpr Milliseconds kMaxFailurePause{16000};

}  // namespace

void OffloadPolicy::SetPeers(std::vector<Peer> new_peers) {
  std::erase_if(new_peers, [this](const Peer& peer) { return peer.cores < this->cores; });
  this->peers = std::move(new_peers);
  std::erase_if(this->pauses, [this](const auto& item) {
    return std::ranges::find(this->peers, item.first, &Peer::address) == this->peers.end();
  });
}

void OffloadPolicy::NoteLag(Time::duration lag, Time now) {
  if (now - this->adjusted_at < kAdjustInterval) {
    return;
  }
  this->adjusted_at = now;
  if (lag >= kHighLag) {
    this->fraction = std::min(this->fraction + kGrowth, kMaxFraction);
  } else if (lag < kLowLag) {
    this->fraction = std::max(this->fraction - kDecline, 0.0);
  }
}

std::optional<std::string> OffloadPolicy::Choose(Time now, Random& random) {
  std::uniform_real_distribution<double> unit(0, 1);
  if (this->fraction <= 0 || unit(random) >= this->fraction) {
    return std::nullopt;
  }
  double total = 0;
  for (const Peer& peer : this->peers) {
    total += this->IsPaused(peer.address, now) ? 0 : peer.cores;
  }
  double drawn = unit(random) * total;
  for (const Peer& peer : this->peers) {
    if (this->IsPaused(peer.address, now)) {
      continue;
    }
    drawn -= peer.cores;
    if (drawn < 0) {
      return peer.address;
    }
  }
  return std::nullopt;
}

void OffloadPolicy::NoteRefusal(const std::string& address, Time now) {
  Pause& pause = this->pauses[address];
  pause.until = std::max(pause.until, now + kRefusalPause);
}

void OffloadPolicy::NoteFailure(const std::string& address, Time now) {
  Pause& pause = this->pauses[address];
  pause.after_failure = std::clamp(pause.after_failure * 2, kRefusalPause, kMaxFailurePause);
  pause.until = std::max(pause.until, now + pause.after_failure);
}

bool OffloadPolicy::IsPaused(const std::string& address, Time now) const {
  const auto found = this->pauses.find(address);
  return found != this->pauses.end() && now < found->second.until;
}

}  // namespace quetzalvale
