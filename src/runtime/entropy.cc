#include "runtime/entropy.h"

#include <random>

namespace quetzalvale {

std::uint64_t DrawSeed() {
  std::random_device device;
  constexpr int kWordBits = 32;
  return (static_cast<std::uint64_t>(device()) << kWordBits) | device();
}

Incarnation DrawIncarnation() {
  return Incarnation::Draw([] { return DrawSeed(); });
}

}  // namespace quetzalvale
