#include "entry/message_accounting.h"

namespace quetzalvale {
namespace {

/// Several seconds' worth at 19,000 starts/s over a few entries; about 20 MB when full.
constexpr std::size_t kRememberedTasks = 65536;
constexpr std::size_t kRememberedAnswers = 16384;

}  // namespace

MessageAccounting::MessageAccounting()
    : started(kRememberedTasks), settled(kRememberedTasks), answered(kRememberedAnswers) {}

bool MessageAccounting::IsFirst(const StartRequest& start) {
  bool first = false;
  for (const auto& item : start.items) {
    const bool is_new = this->started.Insert(item.task);
    first = first || is_new;
  }
  return first;
}

bool MessageAccounting::Note(const std::vector<Outcome>& outcomes) {
  bool first = false;
  for (const auto& outcome : outcomes) {
    const bool is_new = this->settled.Insert(outcome.task);
    first = first || is_new;
  }
  return first;
}

bool MessageAccounting::IsFirst(const std::vector<TaskReport>& reports) {
  bool first = false;
  for (const auto& report : reports) {
    const bool is_new = report.outcome && this->settled.Insert(report.task);
    first = first || is_new;
  }
  return first;
}

std::uint64_t MessageAccounting::CountUseful(const EntryEvent& event,
                                             const std::vector<EntryAction>& actions) {
  std::uint64_t useful = 0;
  if (const auto* received = std::get_if<OutcomesReceived>(&event)) {
    // The agent counts this message.
    this->Note(received->message.outcomes);
  } else if (const auto* started_reply = std::get_if<StartReplied>(&event)) {
    // The start was counted when it was sent.
    if (const auto* reply = std::get_if<StartReply>(&started_reply->reply)) {
      this->Note(reply->outcomes);
    }
  } else if (const auto* withdrawn = std::get_if<WithdrawReplied>(&event)) {
    const auto* reply = std::get_if<WithdrawReply>(&withdrawn->reply);
    useful += reply != nullptr && this->IsFirst(reply->reports) ? 1 : 0;
  } else if (const auto* sealed = std::get_if<SealReplied>(&event)) {
    const auto* reply = std::get_if<SealReply>(&sealed->reply);
    useful += reply != nullptr && this->IsFirst(reply->reports) ? 1 : 0;
  }
  for (const auto& action : actions) {
    if (const auto* start = std::get_if<SendStart>(&action)) {
      useful += this->IsFirst(start->message) ? 1 : 0;
    } else if (const auto* answer = std::get_if<SendAnswer>(&action)) {
      const auto& ticket = answer->message.answer.ticket;
      useful += ticket && this->answered.Insert(*ticket) ? 1 : 0;
    }
  }
  return useful;
}

}  // namespace quetzalvale
