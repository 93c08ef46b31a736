/// Answers on their way to entries that forwarded a submission.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "core/entry/entry_events.h"
#include "core/messages.h"
#include "core/types.h"

namespace quetzalvale {

/// Repeats each answer until it is acknowledged, its receiver is gone or a time limit has passed.
/// Bounded; the oldest answers go first, and a resubmission gets them from the ledger. Not
/// thread-safe.
class AnswerOutbox {
 public:
  using Key = std::pair<Incarnation, RequestId>;

  void Add(const EntryInfo& peer, RequestId request, Answer answer, Time now);

  /// Whether the answer to this forwarded request is on its way.
  bool Contains(const Incarnation& peer, RequestId request) const;

  /// Returns the answers to send now, and notes that they are under way.
  std::vector<SendAnswer> TakeDue(Time now);

  /// The answer was received, or its receiver is gone.
  void Done(const Incarnation& peer, RequestId request);

  /// The attempt failed.
  void Retry(const Incarnation& peer, RequestId request, Time now);

  bool IsEmpty() const { return this->pending.empty(); }
  std::size_t Size() const { return this->pending.size(); }

 private:
  struct Pending {
    EntryInfo peer;
    Answer answer;
    bool in_flight = false;
    Time next{};
    Time give_up{};
    Milliseconds backoff{0};
  };

  std::map<Key, Pending> pending;
};

}  // namespace quetzalvale
