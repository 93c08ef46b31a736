/// Checks of JSON text from outside that precede parsing.
#pragma once

#include <json/value.h>

#include <string_view>

#include "core/result.h"

namespace quetzalvale {

/// Deepest nesting that outside text may have; keeps recursive code within its stack.
inline constexpr int kMaxNesting = 64;

/// Parses a JSON object that comes from outside. Errors (kMalformed): not UTF-8, nested too deeply,
/// not valid JSON, not an object.
Result<Json::Value> ParseOutsideObject(std::string_view text);

}  // namespace quetzalvale
