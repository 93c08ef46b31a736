#include "protocol/json_nesting.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Calls `take` with each character outside of texts.
template <typename Take>
void ForEachOutsideTexts(const char* text, std::size_t size, const Take& take) {
  bool in_string = false;
  for (std::size_t i = 0; i < size; ++i) {
    const char c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else {
      take(c);
    }
  }
}

}  // namespace

int JsonNesting(const char* text, std::size_t size) {
  int depth = 0;
  int deepest = 0;
  ForEachOutsideTexts(text, size, [&](char c) {
    if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    } else if (c == ']' || c == '}') {
      --depth;
    }
  });
  return deepest;
}

std::size_t JsonValues(const char* text, std::size_t size) {
  std::size_t values = 1;
  ForEachOutsideTexts(text, size,
                      [&values](char c) { values += c == ',' || c == '[' || c == '{' ? 1 : 0; });
  return values;
}

}  // namespace quetzalvale
