#include "core/entry/withdraw_queue.h"

#include <algorithm>

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxBatchTasks = 256;

/// The first retry comes after several round trips. Later ones come at the interval at which a
/// frozen agent is checked.
constexpr Milliseconds kMinBackoff{50};
constexpr Milliseconds kMaxBackoff{2000};

/// A running task ends in about a second, and its outcome settles it without a withdrawal.
constexpr Milliseconds kRunningTaskRetryInterval{5000};

/// Every call reports a result; this only guards against a defect that loses one.
constexpr Milliseconds kReplyTimeout{30000};

}  // namespace

void WithdrawQueue::Add(const TaskRef& task, bool stop_running, Time now) {
  Item& item = this->items[task];
  item.stop_running = item.stop_running || stop_running;
  item.due = now;
}

void WithdrawQueue::Remove(const TaskRef& task) { this->items.erase(task); }

std::optional<WithdrawQueue::Batch> WithdrawQueue::TakeBatch(Time now) {
  if (this->in_flight && now < this->in_flight_until) {
    return std::nullopt;
  }
  this->in_flight = false;
  if (now < this->next_attempt) {
    return std::nullopt;
  }
  Batch batch;
  for (const bool stop : {true, false}) {
    for (auto& [task, item] : this->items) {
      if (item.stop_running == stop && item.due <= now && batch.tasks.size() < kMaxBatchTasks) {
        batch.tasks.push_back(task);
      }
    }
    if (!batch.tasks.empty()) {
      batch.stop_running = stop;
      this->in_flight = true;
      this->in_flight_stop_running = stop;
      this->in_flight_until = now + kReplyTimeout;
      return batch;
    }
  }
  return std::nullopt;
}

void WithdrawQueue::OnAnswered(const std::vector<TaskRef>& tasks, Time now) {
  this->in_flight = false;
  this->backoff = Milliseconds{0};
  this->next_attempt = now;
  for (const TaskRef& task : tasks) {
    const auto found = this->items.find(task);
    // A stop that was requested while the message was in flight has not been sent yet.
    if (found != this->items.end() && found->second.stop_running == this->in_flight_stop_running) {
      found->second.due = now + kRunningTaskRetryInterval;
      found->second.stop_answered = found->second.stop_running;
    }
  }
}

std::vector<TaskRef> WithdrawQueue::UnansweredStops() const {
  std::vector<TaskRef> tasks;
  for (const auto& [task, item] : this->items) {
    if (item.stop_running && !item.stop_answered && tasks.size() < kMaxBatchTasks) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

void WithdrawQueue::OnFailed(Time now) {
  this->in_flight = false;
  this->backoff = std::clamp(this->backoff * 2, kMinBackoff, kMaxBackoff);
  this->next_attempt = now + this->backoff;
}

}  // namespace quetzalvale
