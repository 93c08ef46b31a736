#include "core/policy/health_tracker.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// The pause between probes doubles up to this multiple of the first pause, so that a repaired
/// endpoint is used again within about a minute with the default first pause of 2 s.
constexpr int kMaxPauseFactor = 32;

}  // namespace

HealthTracker::HealthTracker(std::uint32_t eject_after, Milliseconds probe_after)
    : eject_after(eject_after), probe_after(probe_after) {}

void HealthTracker::SetLimits(std::uint32_t new_eject_after, Milliseconds new_probe_after) {
  this->eject_after = new_eject_after;
  this->probe_after = new_probe_after;
}

bool HealthTracker::Record(std::string_view endpoint, bool ok, Time now) {
  auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    if (ok) {
      return false;
    }
    found = this->endpoints.emplace(std::string(endpoint), State{}).first;
  }
  State& state = found->second;
  if (state.ejected) {
    // Without a pending probe, this task was started before the ejection and gives no new
    // information.
    if (!state.probing) {
      return false;
    }
    state.probing = false;
    if (ok) {
      this->endpoints.erase(found);
      return false;
    }
    state.pause = std::min(state.pause * 2, this->probe_after * kMaxPauseFactor);
    state.next_probe = now + state.pause;
    return false;
  }
  if (ok) {
    state.consecutive_failures = 0;
    return false;
  }
  ++state.consecutive_failures;
  if (this->eject_after == 0 || state.consecutive_failures < this->eject_after) {
    return false;
  }
  state.ejected = true;
  state.probing = false;
  state.pause = this->probe_after;
  state.next_probe = now + state.pause;
  return true;
}

bool HealthTracker::IsAvailable(std::string_view endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() || !found->second.ejected;
}

bool HealthTracker::MayProbe(std::string_view endpoint, Time now) const {
  const auto found = this->endpoints.find(endpoint);
  return found != this->endpoints.end() && found->second.ejected && now >= found->second.next_probe;
}

void HealthTracker::ProbeSent(std::string_view endpoint, Time now) {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end() || !found->second.ejected) {
    return;
  }
  found->second.probing = true;
  // If the outcome of a probe never arrives, the endpoint must not stay ejected forever.
  found->second.next_probe = now + found->second.pause;
}

void HealthTracker::Forget(std::string_view endpoint) {
  const auto found = this->endpoints.find(endpoint);
  if (found != this->endpoints.end()) {
    this->endpoints.erase(found);
  }
}

}  // namespace quetzalvale
