#include "core/agent/endpoint_watch.h"

#include <algorithm>

namespace quetzalvale {
namespace {

constexpr Milliseconds kFirstPause{100};
/// An endpoint that comes back is in use again within this time.
constexpr Milliseconds kLongestPause{1000};
/// A check without a result after this time is repeated.
constexpr Milliseconds kUnderWayLimit{10000};

}  // namespace

void EndpointWatch::Suspect(Time now) {
  if (this->up) {
    this->up = false;
    this->due = now;
    this->pause = Milliseconds(0);
  }
}

bool EndpointWatch::Checked(bool is_up, Time now) {
  this->under_way = false;
  const bool tell = is_up && !this->up && this->found_down;
  this->up = is_up;
  this->found_down = !is_up;
  if (!is_up) {
    this->pause = std::clamp(this->pause * 2, kFirstPause, kLongestPause);
    this->due = now + this->pause;
  } else {
    this->pause = Milliseconds(0);
  }
  return tell;
}

bool EndpointWatch::TakeDue(Time now) {
  if (this->under_way && now - this->sent >= kUnderWayLimit) {
    this->under_way = false;
  }
  if (this->up || this->under_way || now < this->due) {
    return false;
  }
  this->under_way = true;
  this->sent = now;
  return true;
}

}  // namespace quetzalvale
