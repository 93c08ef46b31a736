#include "core/entry/forward_table.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

/// More than the requests that callers of one entry have open; each holds the body of a job.
constexpr std::size_t kMaxForwards = 4096;

constexpr Milliseconds kMinBackoff{100};
constexpr Milliseconds kMaxBackoff{1000};

}  // namespace

Forward* ForwardTable::Add(RequestId request, Submission submission, Time deadline, Time now) {
  if (this->forwards.size() >= kMaxForwards) {
    return nullptr;
  }
  Forward& forward = this->forwards[request];
  forward.request = request;
  forward.submission = std::move(submission);
  forward.deadline = deadline;
  forward.next = now;
  return &forward;
}

Forward* ForwardTable::Find(RequestId request) {
  const auto found = this->forwards.find(request);
  return found == this->forwards.end() ? nullptr : &found->second;
}

std::optional<Forward> ForwardTable::Take(RequestId request) {
  auto node = this->forwards.extract(request);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

bool ForwardTable::Contains(const Ticket& ticket) const {
  return std::ranges::any_of(this->forwards, [&](const auto& element) {
    return element.second.submission.ticket == ticket;
  });
}

std::vector<RequestId> ForwardTable::DueRequests(Time now) const {
  std::vector<RequestId> open;
  for (const auto& [request, forward] : this->forwards) {
    if (!forward.in_flight && forward.next <= now) {
      open.push_back(request);
    }
  }
  return open;
}

void ForwardTable::MarkSent(Forward& forward, const Incarnation& target, Time now) {
  forward.target = target;
  forward.in_flight = true;
  forward.taken = false;
  forward.next = now;
}

void ForwardTable::ScheduleRetry(Forward& forward, Time now) {
  forward.in_flight = false;
  forward.taken = false;
  forward.failed = true;
  forward.backoff = std::clamp(forward.backoff * 2, kMinBackoff, kMaxBackoff);
  forward.next = now + forward.backoff;
}

void ForwardTable::ScheduleRetryForAll(const Incarnation& target, Time now) {
  for (auto& [request, forward] : this->forwards) {
    if (forward.in_flight && forward.target == target) {
      this->ScheduleRetry(forward, now);
    }
  }
}

}  // namespace quetzalvale
