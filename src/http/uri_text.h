/// Text forms of URIs and header names.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalvale {

/// Splits a request target into its path segments and query parameters, percent-decoded. Empty
/// segments are left out. Returns false when an escape is not well-formed.
bool ReadTarget(std::string_view target, std::vector<std::string>& path,
                std::map<std::string, std::string>& query);

std::string LowerCase(std::string text);

}  // namespace quetzalvale
