/// Submissions forwarded to other entries, waiting for the answer.
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
  /// The entry that the submission was last sent to.
  Incarnation target;
  bool in_flight = false;
  /// The target has accepted the submission and will send the answer.
  bool taken = false;
  /// The last attempt failed.
  bool failed = false;
  Time next{};
  Milliseconds backoff{0};
};

/// Schedules the forwarding of submissions, with retries until the target accepts. Bounded. Not
/// thread-safe.
class ForwardTable {
 public:
  /// Adds a submission, which is due at once. Returns nullptr if the table is full.
  Forward* Add(RequestId request, Submission submission, Time deadline, Time now);

  /// Returns the forward or nullptr.
  Forward* Find(RequestId request);
  void Erase(RequestId request) { this->forwards.erase(request); }
  /// Removes and returns the forward, or returns nothing if there is none.
  std::optional<Forward> Take(RequestId request);

  /// Returns the requests that are due and not in flight: each has to be sent, or the state of its
  /// ticket's owner has to be checked again.
  std::vector<RequestId> DueRequests(Time now) const;

  /// Marks the forward as in flight to the target.
  void MarkSent(Forward& forward, const Incarnation& target, Time now);

  /// Schedules another attempt, with a backoff, after a failed or rejected one.
  void ScheduleRetry(Forward& forward, Time now);

  /// Calls ScheduleRetry for all forwards that are in flight to the target.
  void ScheduleRetryForAll(const Incarnation& target, Time now);

  /// Whether some request with the ticket is in the table.
  bool Contains(const Ticket& ticket) const;

  bool IsEmpty() const { return this->forwards.empty(); }
  std::size_t Size() const { return this->forwards.size(); }

 private:
  std::map<RequestId, Forward> forwards;
};

}  // namespace quetzalvale
