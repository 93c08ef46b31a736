/// Authentication of operators.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/process_settings.h"

namespace quetzalvale {

/// Knows the SHA-256 of each operator's token. Immutable.
class Administrators {
 public:
  explicit Administrators(std::vector<Administrator> administrators);

  /// Returns the name of the token's holder. `authorization` is the header's value. The time taken
  /// does not depend on where a wrong token differs.
  std::optional<std::string> Authenticate(std::string_view authorization) const;

 private:
  std::vector<Administrator> administrators;
};

/// Returns the SHA-256 of the text as 64 lower-case hexadecimal digits.
std::string Sha256Text(std::string_view text);

}  // namespace quetzalvale
