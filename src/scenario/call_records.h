/// The callers' own records of their HTTP calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "http/http_call.h"

namespace quetzalvale {

/// How one call ended, as its caller saw it. Times are milliseconds since the runner's start.
struct CallRecord {
  double sent_ms = 0;
  double answered_ms = 0;
  CallResult result;
};

/// Starts calls and records every reply and error. Thread-safe.
class CallRecords {
 public:
  CallRecords();
  /// Replies that arrive later are dropped.
  ~CallRecords();
  CallRecords(const CallRecords&) = delete;
  CallRecords& operator=(const CallRecords&) = delete;

  /// Returns the record's number.
  std::uint64_t Start(const CallRequest& request);

  /// Returns nothing while the call is in progress. Throws std::out_of_range for an unknown number.
  std::optional<CallRecord> Find(std::uint64_t number) const;

  /// Milliseconds since construction.
  double NowMs() const;

 private:
  struct State;
  /// Shared with the calls in progress, which may end after the records are gone.
  std::shared_ptr<State> state;
};

}  // namespace quetzalvale
