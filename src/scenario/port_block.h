/// Loopback ports for the processes of one scenario.
#pragma once

#include <cstdint>

namespace quetzalvale {

/// Reserves a block of ports for the lifetime of the object, so that scenarios that run at the same
/// time never get the same port. The ports lie below the kernel's range for outgoing connections,
/// which would otherwise take them between allocation and use. Not thread-safe.
class PortBlock {
 public:
  /// Throws std::runtime_error when all blocks are taken.
  PortBlock();
  ~PortBlock();
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  /// Returns a port that was not returned before and that nobody listens on. Throws
  /// std::runtime_error when the block is used up.
  std::uint16_t Next();

 private:
  int lock_file = -1;
  int next = 0;
  int end = 0;
};

}  // namespace quetzalvale
