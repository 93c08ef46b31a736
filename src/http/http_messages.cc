#include "http/http_messages.h"

namespace quetzalvale {

std::string EncodeSegment(std::string_view text) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

}  // namespace quetzalvale
