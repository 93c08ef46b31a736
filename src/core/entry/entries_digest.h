/// Digest of the lists of live and departed entries that an entry sends to agents and other
/// entries.
#pragma once

#include <cstdint>
#include <span>

#include "core/messages.h"

namespace quetzalvale {

/// Digest of two empty lists.
inline constexpr std::uint64_t kEmptyDigest = 1;

/// Returns the digest of the two lists. Never zero, which stands for "holds no list". It depends on
/// the order of the elements; all tables are sorted by incarnation.
std::uint64_t DigestOf(std::span<const EntryInfo> entries, std::span<const Succession> successions);

}  // namespace quetzalvale
