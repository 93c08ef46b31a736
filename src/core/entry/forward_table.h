/// Submissions that wait for another entry's answer.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/entry/entry_events.h"
#include "core/messages.h"
#include "core/types.h"

namespace quetzalvale {

/// A local request whose ticket belongs to another entry.
struct Forward {
  RequestId request = 0;
  Submission submission;
  Time deadline{};
  /// The entry that was asked last.
  Incarnation target;
  bool in_flight = false;
  /// The target has the submission and will send the answer.
  bool taken = false;
  /// The last attempt failed.
  bool failed = false;
  Time next{};
  Milliseconds backoff{0};
};

/// Repeats forwards until they are taken. Bounded. Not thread-safe.
class ForwardTable {
 public:
  /// Returns nullptr when the table is full.
  Forward* Add(RequestId request, Submission submission, Time deadline, Time now);

  Forward* Find(RequestId request);
  void Erase(RequestId request) { this->forwards.erase(request); }
  std::optional<Forward> Take(RequestId request);

  /// Requests that may have to be sent, or whose owner has to be looked at again.
  std::vector<RequestId> Open(Time now) const;

  /// Notes that the forward is on its way.
  void Sent(Forward& forward, const Incarnation& target, Time now);

  /// Notes that the attempt failed or the submission was not taken; it is due again later.
  void Retry(Forward& forward, Time now);

  /// Retry for all forwards that are on their way to the target.
  void RetryAll(const Incarnation& target, Time now);

  /// Whether some request waits for the ticket.
  bool Contains(const Ticket& ticket) const;

  bool IsEmpty() const { return this->forwards.empty(); }
  std::size_t Size() const { return this->forwards.size(); }

 private:
  std::map<RequestId, Forward> forwards;
};

}  // namespace quetzalvale
