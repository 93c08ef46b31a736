/// Answers to be sent to the entries that forwarded a submission.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "core/entry/entry_events.h"
#include "core/messages.h"
#include "core/types.h"

namespace quetzalvale {

/// Resends each answer until it is acknowledged, its receiver is gone or a time limit has passed.
/// Bounded: when full, the oldest answer is evicted, and a resubmission gets it from the ledger.
/// Not thread-safe.
class AnswerOutbox {
 public:
  using Key = std::pair<Incarnation, RequestId>;

  /// Adds an answer, which is due at once.
  void Add(const EntryInfo& peer, RequestId request, Answer answer, Time now);

  /// Whether the answer to this forwarded request is still to be acknowledged.
  bool Contains(const Incarnation& peer, RequestId request) const;

  /// Returns the answers to send now, and marks them as in flight.
  std::vector<SendAnswer> TakeDue(Time now);

  /// Removes an answer that was acknowledged or whose receiver is gone.
  void Discard(const Incarnation& peer, RequestId request);

  /// Schedules another attempt, with a backoff, after a failed one.
  void ScheduleRetry(const Incarnation& peer, RequestId request, Time now);

  bool IsEmpty() const { return this->pending.empty(); }
  std::size_t Size() const { return this->pending.size(); }

 private:
  struct Pending {
    EntryInfo peer;
    Answer answer;
    bool in_flight = false;
    Time next{};
    Time expires{};
    Milliseconds backoff{0};
  };

  std::map<Key, Pending> pending;
};

}  // namespace quetzalvale
