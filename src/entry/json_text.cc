#include "entry/json_text.h"

#include <utility>

#include "protocol/codec.h"
#include "protocol/json_nesting.h"
#include "protocol/utf8.h"

namespace quetzalvale {
namespace {

Error Malformed(const std::string& message) { return {ErrorKind::kMalformed, message}; }

}  // namespace

Result<Json::Value> ParseOutsideObject(std::string_view text) {
  if (!IsUtf8(text)) {
    return Malformed("the body is not UTF-8; encode it as UTF-8");
  }
  if (JsonNesting(text.data(), text.size()) > kMaxNesting) {
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
