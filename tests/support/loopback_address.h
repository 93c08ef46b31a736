/// Addresses for the servers that a test program starts.
#pragma once

#include <string>

#include "scenario/port_block.h"

namespace quetzalvale {

/// Returns an address on loopback that this program has not returned before and that no other test
/// program is given. Ports that the kernel hands out (bind to port 0) can be handed out again as
/// soon as they are closed: two servers of one test then got the same one.
inline std::string NextLoopbackAddress() {
  static PortBlock ports;
  return "127.0.0.1:" + std::to_string(ports.Next());
}

}  // namespace quetzalvale
