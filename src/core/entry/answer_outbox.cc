#include "core/entry/answer_outbox.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxPending = 4096;
constexpr Milliseconds kMinBackoff{100};
constexpr Milliseconds kMaxBackoff{2000};

/// Longer than a caller waits for its answer, and longer than it takes to declare a peer dead. A
/// leaving entry waits at most this long for acknowledgements.
constexpr std::chrono::seconds kRetryTimeout{30};

}  // namespace

void AnswerOutbox::Add(const EntryInfo& peer, RequestId request, Answer answer, Time now) {
  if (this->pending.size() >= kMaxPending) {
    this->pending.erase(std::ranges::min_element(
        this->pending, {}, [](const auto& element) { return element.second.expires; }));
  }
  Pending& entry = this->pending[{peer.incarnation, request}];
  entry.peer = peer;
  entry.answer = std::move(answer);
  entry.next = now;
  entry.expires = now + kRetryTimeout;
}

bool AnswerOutbox::Contains(const Incarnation& peer, RequestId request) const {
  return this->pending.contains({peer, request});
}

std::vector<SendAnswer> AnswerOutbox::TakeDue(Time now) {
  std::vector<SendAnswer> due;
  std::erase_if(this->pending, [&](const auto& element) { return now >= element.second.expires; });
  for (auto& [key, entry] : this->pending) {
    if (!entry.in_flight && entry.next <= now) {
      entry.in_flight = true;
      due.push_back({entry.peer.address, {key.first, key.second, entry.answer}});
    }
  }
  return due;
}

void AnswerOutbox::Discard(const Incarnation& peer, RequestId request) {
  this->pending.erase({peer, request});
}

void AnswerOutbox::ScheduleRetry(const Incarnation& peer, RequestId request, Time now) {
  const auto found = this->pending.find({peer, request});
  if (found == this->pending.end()) {
    return;
  }
  Pending& entry = found->second;
  entry.in_flight = false;
  entry.backoff = std::clamp(entry.backoff * 2, kMinBackoff, kMaxBackoff);
  entry.next = now + entry.backoff;
}

}  // namespace quetzalvale
