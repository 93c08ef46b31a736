/// Limits and faults that the platform stand-in shows on request.
#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <mutex>

#include "core/result.h"

namespace quetzalvale {

/// Token bucket holding up to one second's worth. Not thread-safe.
class RateLimit {
 public:
  explicit RateLimit(double per_second);

  void SetRate(double new_per_second);
  double Rate() const { return this->per_second; }
  bool TryTake(std::chrono::steady_clock::time_point now);

 private:
  double per_second;
  double tokens;
  std::chrono::steady_clock::time_point filled{};
};

/// What happens to one request.
struct Treatment {
  /// Zero, 429 or 503: the status to refuse with, without effect.
  int refusal = 0;
  std::chrono::milliseconds latency{0};
  /// Take effect but answer 504.
  bool lose_answer = false;
};

/// Decides how each request is treated. Thread-safe.
class PlatformFaults {
 public:
  PlatformFaults();

  Treatment TreatRead();
  Treatment TreatWrite();

  /// Settings as in the body of GET /control.
  Json::Value Describe() const;

  /// Changes the settings named in the body of POST /control; changes none on an error.
  Status Change(const Json::Value& settings);

 private:
  Treatment Treat(RateLimit& limit, std::chrono::milliseconds latency);

  mutable std::mutex mutex;
  bool outage = false;
  std::chrono::milliseconds read_latency{0};
  std::chrono::milliseconds write_latency{0};
  RateLimit writes;
  RateLimit reads;
  std::uint64_t lose_answers = 0;
};

}  // namespace quetzalvale
