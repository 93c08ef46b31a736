#include "core/entry/answer_outbox.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxPending = 4096;
constexpr Milliseconds kFirstBackoff{100};
constexpr Milliseconds kLongestBackoff{2000};

/// Longer than a caller waits and than a peer takes to be declared dead. A leaving entry waits at
/// most this long for acknowledgements.
constexpr std::chrono::seconds kGiveUp{30};

}  // namespace

void AnswerOutbox::Add(const EntryInfo& peer, RequestId request, Answer answer, Time now) {
  if (this->pending.size() >= kMaxPending) {
    this->pending.erase(std::ranges::min_element(
        this->pending, {}, [](const auto& element) { return element.second.give_up; }));
  }
  Pending& entry = this->pending[{peer.incarnation, request}];
  entry.peer = peer;
  entry.answer = std::move(answer);
  entry.next = now;
  entry.give_up = now + kGiveUp;
}

bool AnswerOutbox::Contains(const Incarnation& peer, RequestId request) const {
  return this->pending.contains({peer, request});
}

std::vector<SendAnswer> AnswerOutbox::TakeDue(Time now) {
  std::vector<SendAnswer> due;
  std::erase_if(this->pending, [&](const auto& element) { return now >= element.second.give_up; });
  for (auto& [key, entry] : this->pending) {
    if (!entry.in_flight && entry.next <= now) {
      entry.in_flight = true;
      due.push_back({entry.peer.address, {key.first, key.second, entry.answer}});
    }
  }
  return due;
}

void AnswerOutbox::Done(const Incarnation& peer, RequestId request) {
  this->pending.erase({peer, request});
}

void AnswerOutbox::Retry(const Incarnation& peer, RequestId request, Time now) {
  const auto found = this->pending.find({peer, request});
  if (found == this->pending.end()) {
    return;
  }
  Pending& entry = found->second;
  entry.in_flight = false;
  entry.backoff = std::clamp(entry.backoff * 2, kFirstBackoff, kLongestBackoff);
  entry.next = now + entry.backoff;
}

}  // namespace quetzalvale
