/// Reading of settings files.
#pragma once

#include <json/value.h>

#include <string>

#include "core/result.h"

namespace quetzalvale {

/// Reads a file and parses its JSON. Errors (kInvalidSettings) name the file and the remedy.
Result<Json::Value> ReadSettingsFile(const std::string& path);

}  // namespace quetzalvale
