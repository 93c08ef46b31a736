/// Tells which process opened a loopback connection.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <span>

namespace quetzalvale {

/// Returns which of the processes holds the socket 127.0.0.1:local_port that is connected to
/// 127.0.0.1:remote_port, or 0. Reads /proc of these processes only.
pid_t FindSocketOwner(std::uint16_t local_port, std::uint16_t remote_port,
                      std::span<const pid_t> processes);

}  // namespace quetzalvale
