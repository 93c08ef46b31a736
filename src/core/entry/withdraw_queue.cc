#include "core/entry/withdraw_queue.h"

#include <algorithm>

namespace quetzalvale {
namespace {

constexpr std::size_t kBatchTasks = 256;

/// The first repetition comes after several round trips, the later ones at the pace at which a
/// frozen agent is looked for.
constexpr Milliseconds kFirstBackoff{50};
constexpr Milliseconds kLongestBackoff{2000};

/// A running task ends in about a second, and its outcome settles it without a withdrawal.
constexpr Milliseconds kRunningPause{5000};

/// The result of a call always arrives; this only guards against a program that loses one.
constexpr Milliseconds kReplyLimit{30000};

}  // namespace

void WithdrawQueue::Add(const TaskRef& task, bool stop_running, Time now) {
  Item& item = this->items[task];
  item.stop_running = item.stop_running || stop_running;
  item.due = now;
}

void WithdrawQueue::Remove(const TaskRef& task) { this->items.erase(task); }

std::optional<WithdrawQueue::Batch> WithdrawQueue::Take(Time now) {
  if (this->in_flight && now < this->in_flight_until) {
    return std::nullopt;
  }
  this->in_flight = false;
  if (now < this->not_before) {
    return std::nullopt;
  }
  Batch batch;
  for (const bool stop : {true, false}) {
    for (auto& [task, item] : this->items) {
      if (item.stop_running == stop && item.due <= now && batch.tasks.size() < kBatchTasks) {
        batch.tasks.push_back(task);
      }
    }
    if (!batch.tasks.empty()) {
      batch.stop_running = stop;
      this->in_flight = true;
      this->in_flight_stop = stop;
      this->in_flight_until = now + kReplyLimit;
      return batch;
    }
  }
  return std::nullopt;
}

void WithdrawQueue::Answered(const std::vector<TaskRef>& tasks, Time now) {
  this->in_flight = false;
  this->backoff = Milliseconds{0};
  this->not_before = now;
  for (const TaskRef& task : tasks) {
    const auto found = this->items.find(task);
    // A stop that was asked for meanwhile has not been sent yet.
    if (found != this->items.end() && found->second.stop_running == this->in_flight_stop) {
      found->second.due = now + kRunningPause;
    }
  }
}

void WithdrawQueue::Failed(Time now) {
  this->in_flight = false;
  this->backoff = std::clamp(this->backoff * 2, kFirstBackoff, kLongestBackoff);
  this->not_before = now + this->backoff;
}

}  // namespace quetzalvale
