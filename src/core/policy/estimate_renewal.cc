#include "core/policy/estimate_renewal.h"

namespace quetzalvale {

void EstimateRenewal::RunEnded(std::string_view kind, Time now) {
  const auto found = this->kinds.find(kind);
  if (found != this->kinds.end()) {
    found->second.confirmed = now;
  }
}

bool EstimateRenewal::MayAccept(const std::string& kind, Time now) {
  const Kind& state = this->kinds.try_emplace(kind, Kind{now}).first->second;
  return !state.in_progress && (state.disproved || now - state.confirmed >= kMaxAge);
}

void EstimateRenewal::Accepted(const std::string& kind, Time now) {
  this->kinds[kind] = {now, /*in_progress=*/true, /*disproved=*/false};
}

void EstimateRenewal::Answered(const std::string& kind, bool on_time) {
  Kind& state = this->kinds[kind];
  state.in_progress = false;
  state.disproved = on_time;
}

}  // namespace quetzalvale
