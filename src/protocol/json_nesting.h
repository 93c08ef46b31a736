/// Depth and size of JSON text before it is parsed.
#pragma once

#include <cstddef>

namespace quetzalvale {

/// Returns how deep arrays and objects are nested; for malformed text, an upper bound of what a
/// parser meets.
int JsonNesting(const char* text, std::size_t size);

/// Returns how many values the text has at most: one for each comma and bracket outside of texts.
std::size_t JsonValues(const char* text, std::size_t size);

}  // namespace quetzalvale
