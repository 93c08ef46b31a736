/// Headers of the requests that entries hand on to each other, and of the responses.
#pragma once

#include <optional>
#include <string>

#include "core/types.h"

namespace quetzalvale {

/// Marks a request that another entry handed on; it is not handed on again.
inline constexpr const char* kRelayedHeader = "x-quetzalvale-handed-on";
/// Of a response to such a request: the sender's clock.
inline constexpr const char* kPeerClockHeader = "x-quetzalvale-clock-us";
/// Of a request: on the receiver's clock, the time from which on it must not be accepted.
inline constexpr const char* kAcceptUntilHeader = "x-quetzalvale-accept-until-us";

/// Of a request: the version of the configuration by which its sender found the route. An entry
/// with an older one must not decide in its place.
inline constexpr const char* kRouteVersionHeader = "x-quetzalvale-route-version";

/// How long after it was sent a request is accepted. Longer than it takes to a busy peer, and much
/// shorter than the time after which a caller submits again.
inline constexpr Milliseconds kRelayAcceptWindow{250};

/// Returns the header's text for a time.
std::string FormatHeaderTime(Time time);

/// Returns nothing if the text is not a time.
std::optional<Time> ParseHeaderTime(const std::string& text);

/// Returns when a request with this limit was sent, or nothing if it must not be accepted `now`,
/// because it arrived late or its sender has a wrong idea of this process's clock.
std::optional<Time> SendTimeIfAccepted(const std::string& accept_until, Time now);

}  // namespace quetzalvale
