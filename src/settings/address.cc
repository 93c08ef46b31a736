#include "settings/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace quetzalvale {

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  in_addr parsed{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) != 1) {
    return false;
  }
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  constexpr unsigned kHighestPort = 65535;
  return error == std::errc() && end == digits.data() + digits.size() && port >= 1 &&
         port <= kHighestPort;
}

std::string WithPortOf(const std::string& address, const std::string& other) {
  return address.substr(0, address.rfind(':')) + other.substr(other.rfind(':'));
}

}  // namespace quetzalvale
