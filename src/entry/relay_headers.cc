#include "entry/relay_headers.h"

#include <charconv>

namespace quetzalvale {

std::string FormatHeaderTime(Time time) {
  return std::to_string(std::chrono::duration_cast<Microseconds>(time.time_since_epoch()).count());
}

std::optional<Time> ParseHeaderTime(const std::string& text) {
  std::int64_t microseconds = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, microseconds);
  // Times beyond the range of Time are no readings of a clock.
  const std::int64_t limit =
      std::chrono::duration_cast<Microseconds>(Time::duration::max()).count();
  if (error != std::errc() || parsed != end || microseconds < 0 || microseconds > limit) {
    return std::nullopt;
  }
  return Time(Microseconds(microseconds));
}

std::optional<Time> SendTimeIfAccepted(const std::string& accept_until, Time now) {
  const auto limit = ParseHeaderTime(accept_until);
  if (!limit || now >= *limit || now < *limit - kRelayAcceptWindow) {
    return std::nullopt;
  }
  return *limit - kRelayAcceptWindow;
}

}  // namespace quetzalvale
