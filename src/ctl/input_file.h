/// Reading of JSON files given on the command line.
#pragma once

#include <json/value.h>

#include <string>

#include "core/result.h"

namespace quetzalvale {

/// Reads the file, or standard input for `-`. The error names the file and the remedy.
Result<std::string> ReadText(const std::string& file);

/// Reads and parses the file, or standard input for `-`.
Result<Json::Value> ReadJsonFile(const std::string& file);

}  // namespace quetzalvale
