/// Result types: a value, or an error whose message says how to correct it.
#pragma once

#include <string>
#include <variant>

namespace quetzalvale {

/// Kinds of error that cross a module or process boundary. ErrorKindText() gives the text form.
enum class ErrorKind {
  kMalformed,
  kUnauthorized,
  kUnknownService,
  kUnknownTicket,
  kUnknownKind,
  kUnknownTeam,
  kConflict,
  kTooLarge,
  kTooManyTasks,
  kNeverFits,
  kNoIdentity,
  kQuota,
  kOverloaded,
  kDeadlineUnreachable,
  kNotReady,
  kLeaving,
  kTicketExpired,
  kAnswerExpired,
  kPlatformUnavailable,
  kStaleBase,
  kInvalidSettings,
  kNotFound,
  kUnreachable,
  kTimeout,
  kInternal,
};

/// Returns the snake_case name used in JSON and logs, such as "unknown_service".
const char* ErrorKindText(ErrorKind kind);

/// Returns the HTTP status that the entry answers with for this kind of error.
int HttpStatus(ErrorKind kind);

/// An error. `message` says what is wrong and how to correct it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

template <typename T>
using Result = std::variant<T, Error>;

/// Result of an operation that returns nothing on success.
using Status = std::variant<std::monostate, Error>;

template <typename T>
bool IsOk(const std::variant<T, Error>& result) {
  return result.index() == 0;
}

/// Precondition: !IsOk(result).
template <typename T>
const Error& GetError(const std::variant<T, Error>& result) {
  return std::get<1>(result);
}

}  // namespace quetzalvale
