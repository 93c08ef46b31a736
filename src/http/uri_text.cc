#include "http/uri_text.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace quetzalvale {
namespace {

int HexDigit(char digit) {
  constexpr int kTen = 10;
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + kTen;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + kTen;
  return -1;
}

std::optional<std::string> Decode(std::string_view text) {
  constexpr int kBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexDigit(text[i + 1]);
    const int low = HexDigit(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    decoded += static_cast<char>(high * kBase + low);
    i += 2;
  }
  return decoded;
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    if (end > 0) parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

}  // namespace

bool ReadTarget(std::string_view target, std::vector<std::string>& path,
                std::map<std::string, std::string>& query) {
  const std::size_t mark = std::min(target.find('?'), target.size());
  for (const std::string_view part : Split(target.substr(0, mark), '/')) {
    auto segment = Decode(part);
    if (!segment) return false;
    path.push_back(*std::move(segment));
  }
  for (const std::string_view part : Split(target.substr(std::min(mark + 1, target.size())), '&')) {
    const std::size_t equals = std::min(part.find('='), part.size());
    auto name = Decode(part.substr(0, equals));
    auto value = Decode(part.substr(std::min(equals + 1, part.size())));
    if (!name || !value) return false;
    query[*std::move(name)] = *std::move(value);
  }
  return true;
}

std::string LowerCase(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

}  // namespace quetzalvale
