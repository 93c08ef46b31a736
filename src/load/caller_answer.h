/// An entry's answer to a job, as its caller checks it.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalvale {

enum class CallerStatus { kComplete, kFailed, kRefused, kNoAnswer };

struct CallerAnswer {
  CallerStatus status = CallerStatus::kNoAnswer;
  /// Reason of a failed answer, error of a refusal, or what broke without an answer.
  std::string reason;
  bool not_run = false;
  std::vector<std::string> tickets;
  /// What breaks the guarantees of an answer; empty when nothing does.
  std::string violation;
};

/// Decodes an answer. A complete one must carry exactly the given echoes in order, and no other
/// answer may carry outcomes. `http_status` zero means that there was no answer.
CallerAnswer ReadCallerAnswer(int http_status, std::string_view body,
                              std::span<const std::string> echoes);

/// Decodes the tickets of an answer or of a reply to a tickets call; empty when there are none.
std::vector<std::string> ReadTickets(std::string_view body);

}  // namespace quetzalvale
