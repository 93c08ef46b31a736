#include "protocol/json_nesting.h"

#include <algorithm>

namespace quetzalvale {

int JsonNesting(const char* text, std::size_t size) {
  int depth = 0;
  int deepest = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < size; ++i) {
    const char c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return deepest;
}

}  // namespace quetzalvale
