#include "entry/administrators.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <utility>

namespace quetzalvale {

std::string Sha256Text(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  for (unsigned int i = 0; i < size; ++i) {
    digits += kDigits[digest[i] >> 4U];
    digits += kDigits[digest[i] & 15U];
  }
  return digits;
}

Administrators::Administrators(std::vector<Administrator> administrators)
    : administrators(std::move(administrators)) {}

std::optional<std::string> Administrators::Authenticate(std::string_view authorization) const {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) {
    return std::nullopt;
  }
  const std::string hash = Sha256Text(authorization.substr(kScheme.size()));
  std::optional<std::string> holder;
  for (const auto& administrator : this->administrators) {
    const std::string& expected = administrator.token_sha256;
    const bool same = expected.size() == hash.size() &&
                      CRYPTO_memcmp(expected.data(), hash.data(), hash.size()) == 0;
    if (same) {
      holder = administrator.name;
    }
  }
  return holder;
}

}  // namespace quetzalvale
