/// Form of the addresses that processes listen on and call.
#pragma once

#include <string_view>

namespace quetzalvale {

/// Returns whether the text is `IPv4:port` with a port from 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace quetzalvale
