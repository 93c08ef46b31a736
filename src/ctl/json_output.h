/// Results of operations as text.
#pragma once

#include <json/value.h>

#include <ostream>

namespace quetzalvale {

/// Writes indented JSON and a newline. Members are in alphabetical order, so that two outputs can
/// be compared line by line.
void PrintJson(std::ostream& out, const Json::Value& value);

}  // namespace quetzalvale
