/// Depth of JSON text before it is parsed.
#pragma once

#include <cstddef>

namespace quetzalvale {

/// Returns how deep arrays and objects are nested; for malformed text, an upper bound of what a
/// parser meets.
int JsonNesting(const char* text, std::size_t size);

}  // namespace quetzalvale
