/// Form of the addresses that processes listen on and call.
#pragma once

#include <string>
#include <string_view>

namespace quetzalvale {

/// Returns whether the text is `IPv4:port` with a port from 1 to 65535.
bool IsAddress(std::string_view text);

/// Returns the address on the same host with another port. Precondition: both are addresses.
std::string WithPortOf(const std::string& address, const std::string& other);

}  // namespace quetzalvale
