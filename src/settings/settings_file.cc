#include "settings/settings_file.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {

Result<Json::Value> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file) {
    return Error{ErrorKind::kInvalidSettings,
                 path + ": $: cannot be read; check the path and its permissions"};
  }
  auto document = ReadJson(text);
  if (!IsOk(document)) {
    return Error{ErrorKind::kInvalidSettings, path + ": $: " + GetError(document).message};
  }
  return document;
}

}  // namespace quetzalvale
