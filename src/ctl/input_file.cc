#include "ctl/input_file.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "protocol/codec.h"

namespace quetzalvale {

Result<std::string> ReadText(const std::string& file) {
  using Characters = std::istreambuf_iterator<char>;
  if (file == "-") {
    return std::string(Characters(std::cin), Characters());
  }
  std::ifstream stream(file);
  std::string text(Characters(stream), Characters{});
  if (!stream) {
    return Error{ErrorKind::kNotFound,
                 file + ": cannot be read; check that the file exists and is readable"};
  }
  return text;
}

Result<Json::Value> ReadJsonFile(const std::string& file) {
  const auto text = ReadText(file);
  if (!IsOk(text)) {
    return GetError(text);
  }
  auto json = ReadJson(std::get<std::string>(text));
  if (!IsOk(json)) {
    return Error{ErrorKind::kMalformed,
                 file + ": " + GetError(json).message + "; correct the JSON"};
  }
  return json;
}

}  // namespace quetzalvale
