#include "entry/json_text.h"

#include <boost/locale/utf.hpp>
#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

bool IsUtf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  const char* next = text.data();
  const char* const end = next + text.size();
  while (next != end) {
    const utf::code_point point = utf::utf_traits<char>::decode(next, end);
    if (point == utf::illegal || point == utf::incomplete) {
      return false;
    }
  }
  return true;
}

int Nesting(std::string_view text) {
  int depth = 0;
  int deepest = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
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

Error Malformed(const std::string& message) { return {ErrorKind::kMalformed, message}; }

}  // namespace

Result<Json::Value> ParseOutsideObject(std::string_view text) {
  if (!IsUtf8(text)) {
    return Malformed("the body is not UTF-8; encode it as UTF-8");
  }
  if (Nesting(text) > kMaxNesting) {
    return Malformed("the body is nested more than " + std::to_string(kMaxNesting) +
                     " levels deep; flatten it");
  }
  auto json = ReadJson(text);
  if (IsOk(json) && !std::get<Json::Value>(json).isObject()) {
    return Malformed("the body is not a JSON object; send an object");
  }
  return json;
}

}  // namespace quetzalvale
