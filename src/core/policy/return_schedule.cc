#include "core/policy/return_schedule.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Share of the jobs served per second that retrying callers may use; the rest is for new callers.
constexpr double kReturningPart = 0.25;

/// Retries per second that are always allowed, also while the entry serves nothing.
constexpr std::uint32_t kLeastPerSecond = 5;

/// Longest delay of a retry. Bursts last some seconds, and a caller with a customer on the phone
/// does not wait longer.
constexpr std::int64_t kLatestSeconds = 8;

std::int64_t SecondOf(Time time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

}  // namespace

void ReturnSchedule::NoteServed(Time now) {
  const std::int64_t second = SecondOf(now);
  this->served.erase(this->served.begin(), this->served.lower_bound(second - 1));
  ++this->served[second];
}

std::uint32_t ReturnSchedule::RoomPerSecond(std::int64_t second) const {
  const auto last = this->served.find(second - 1);
  const double rate = last == this->served.end() ? 0 : static_cast<double>(last->second);
  return std::max(kLeastPerSecond, static_cast<std::uint32_t>(rate * kReturningPart));
}

std::chrono::seconds ReturnSchedule::Next(Time now) {
  const std::int64_t second = SecondOf(now);
  this->returning.erase(this->returning.begin(), this->returning.upper_bound(second));
  const std::uint32_t room = this->RoomPerSecond(second);
  std::int64_t chosen = second + 1;
  for (std::int64_t next = second + 1; next <= second + kLatestSeconds; ++next) {
    const std::uint32_t told = this->returning[next];
    if (told < room) {
      chosen = next;
      break;
    }
    chosen = told < this->returning[chosen] ? next : chosen;
  }
  ++this->returning[chosen];
  return std::chrono::seconds(chosen - second);
}

}  // namespace quetzalvale
