#include "core/policy/retry_after_schedule.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Share of the jobs served per second that retrying callers may use; the rest is for new callers.
constexpr double kRetryShare = 0.25;

/// Retries per second that are always allowed, also while the entry serves nothing.
constexpr std::uint32_t kMinRetriesPerSecond = 5;

/// Longest delay of a retry. Bursts last some seconds, and a caller with a customer on the phone
/// does not wait longer.
constexpr std::int64_t kMaxDelaySeconds = 8;

std::int64_t SecondOf(Time time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

}  // namespace

void RetryAfterSchedule::NoteServed(Time now) {
  const std::int64_t second = SecondOf(now);
  this->served.erase(this->served.begin(), this->served.lower_bound(second - 1));
  ++this->served[second];
}

std::uint32_t RetryAfterSchedule::RetriesPerSecond(std::int64_t second) const {
  const auto last = this->served.find(second - 1);
  const double rate = last == this->served.end() ? 0 : static_cast<double>(last->second);
  return std::max(kMinRetriesPerSecond, static_cast<std::uint32_t>(rate * kRetryShare));
}

std::chrono::seconds RetryAfterSchedule::Next(Time now) {
  const std::int64_t second = SecondOf(now);
  this->retries_by_second.erase(this->retries_by_second.begin(),
                                this->retries_by_second.upper_bound(second));
  const std::uint32_t capacity = this->RetriesPerSecond(second);
  std::int64_t chosen = second + 1;
  for (std::int64_t next = second + 1; next <= second + kMaxDelaySeconds; ++next) {
    const std::uint32_t assigned = this->retries_by_second[next];
    if (assigned < capacity) {
      chosen = next;
      break;
    }
    chosen = assigned < this->retries_by_second[chosen] ? next : chosen;
  }
  ++this->retries_by_second[chosen];
  return std::chrono::seconds(chosen - second);
}

}  // namespace quetzalvale
