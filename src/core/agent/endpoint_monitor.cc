#include "core/agent/endpoint_monitor.h"

#include <algorithm>

namespace quetzalvale {
namespace {

constexpr Milliseconds kMinBackoff{100};
/// Limit of the backoff: an endpoint that recovers is used again within this time.
constexpr Milliseconds kMaxBackoff{1000};
/// A check without a result after this time is repeated.
constexpr Milliseconds kInFlightTimeout{10000};

}  // namespace

void EndpointMonitor::MarkSuspect(Time now) {
  if (this->up) {
    this->up = false;
    this->next_check = now;
    this->backoff = Milliseconds(0);
  }
}

bool EndpointMonitor::CheckCompleted(bool is_up, Time now) {
  this->in_flight = false;
  const bool recovered = is_up && !this->up && this->last_check_failed;
  this->up = is_up;
  this->last_check_failed = !is_up;
  if (!is_up) {
    this->backoff = std::clamp(this->backoff * 2, kMinBackoff, kMaxBackoff);
    this->next_check = now + this->backoff;
  } else {
    this->backoff = Milliseconds(0);
  }
  return recovered;
}

bool EndpointMonitor::TakeDue(Time now) {
  if (this->in_flight && now - this->sent_at >= kInFlightTimeout) {
    this->in_flight = false;
  }
  if (this->up || this->in_flight || now < this->next_check) {
    return false;
  }
  this->in_flight = true;
  this->sent_at = now;
  return true;
}

}  // namespace quetzalvale
