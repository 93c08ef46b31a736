#include "core/policy/round_trips.h"

#include <algorithm>
#include <vector>

namespace quetzalvale {

void RoundTrips::Note(Time sent, Time replied) {
  this->calls.push_back({replied, replied - sent});
  if (this->calls.size() > kMaxCalls) {
    this->calls.pop_front();
  }
}

std::optional<Time::duration> RoundTrips::Median(Time now) const {
  std::vector<Time::duration> lengths;
  for (const Call& call : this->calls) {
    if (now - call.replied < kRetention) {
      lengths.push_back(call.length);
    }
  }
  if (lengths.size() < kMinCalls) {
    return std::nullopt;
  }
  const auto middle = lengths.begin() + static_cast<std::ptrdiff_t>(lengths.size() / 2);
  std::ranges::nth_element(lengths, middle);
  return *middle;
}

}  // namespace quetzalvale
