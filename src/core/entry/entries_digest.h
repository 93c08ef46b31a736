/// Digest of what an entry tells agents and other entries about the live entries.
#pragma once

#include <cstdint>
#include <span>

#include "core/messages.h"

namespace quetzalvale {

/// Digest of two empty lists.
inline constexpr std::uint64_t kEmptyDigest = 1;

/// Never zero, which stands for "holds no list". Depends on the order, which is that of the
/// incarnations in every table.
std::uint64_t DigestOf(std::span<const EntryInfo> entries, std::span<const Succession> successions);

}  // namespace quetzalvale
