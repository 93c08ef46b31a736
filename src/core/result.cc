#include "core/result.h"

#include <array>
#include <cstddef>

namespace quetzalvale {
namespace {

struct ErrorKindInfo {
  const char* text;
  int http_status;
};

/// In the order of ErrorKind.
constexpr std::array<ErrorKindInfo, 25> kErrorKinds{{{"malformed", 400},
                                                     {"unauthorized", 401},
                                                     {"unknown_service", 404},
                                                     {"unknown_ticket", 404},
                                                     {"unknown_kind", 400},
                                                     {"unknown_team", 400},
                                                     {"conflict", 409},
                                                     {"too_large", 413},
                                                     {"too_many_tasks", 413},
                                                     {"never_fits", 422},
                                                     {"no_identity", 400},
                                                     {"quota", 429},
                                                     {"overloaded", 503},
                                                     {"deadline_unreachable", 503},
                                                     {"not_ready", 503},
                                                     {"leaving", 503},
                                                     {"ticket_expired", 410},
                                                     {"answer_expired", 410},
                                                     {"platform_unavailable", 503},
                                                     {"stale_base", 409},
                                                     {"invalid_settings", 422},
                                                     {"not_found", 404},
                                                     {"unreachable", 503},
                                                     {"timeout", 504},
                                                     {"internal", 500}}};

static_assert(kErrorKinds.size() == static_cast<std::size_t>(ErrorKind::kInternal) + 1);

}  // namespace

const char* ErrorKindText(ErrorKind kind) {
  return kErrorKinds.at(static_cast<std::size_t>(kind)).text;
}

int HttpStatus(ErrorKind kind) {
  return kErrorKinds.at(static_cast<std::size_t>(kind)).http_status;
}

}  // namespace quetzalvale
