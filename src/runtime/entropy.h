/// Randomness for identities; decision logic gets seeded generators instead.
#pragma once

#include <cstdint>

#include "core/types.h"

namespace quetzalvale {

/// Draws the identity of this run of the process from the operating system's generator.
Incarnation DrawIncarnation();

/// Returns a seed for a process's generator.
std::uint64_t DrawSeed();

}  // namespace quetzalvale
