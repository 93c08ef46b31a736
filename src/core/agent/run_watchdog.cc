#include "core/agent/run_watchdog.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Silent owners without tasks are removed after this many kMaxOwnerSilence periods. An owner that
/// sends another start before then still has its record.
constexpr int kForgetAfterSilences = 100;

}  // namespace

void RunWatchdog::RecordOwnerContact(const Incarnation& owner, Time time) {
  Time& heard = this->last_heard[owner];
  heard = std::max(heard, time);
}

void RunWatchdog::Add(const TaskKey& task, Time deadline) { this->tasks[task] = {deadline, {}}; }

void RunWatchdog::Remove(const TaskKey& task) { this->tasks.erase(task); }

bool RunWatchdog::IsSilent(const Incarnation& owner, Time now, Milliseconds time) const {
  const auto found = this->last_heard.find(owner);
  return found == this->last_heard.end() || now - found->second >= time;
}

bool RunWatchdog::MustStop(const TaskKey& task, const WatchedRun& run, Time now) const {
  return now >= run.deadline || this->IsSilent(task.ticket.owner, now, kMaxOwnerSilence);
}

bool RunWatchdog::ForbidsLeaseRenewal(Time now) const {
  return std::ranges::any_of(this->tasks, [&](const auto& item) {
    return this->IsSilent(item.first.ticket.owner, now, kMaxSilenceForRenewal);
  });
}

std::vector<TaskKey> RunWatchdog::TakeDue(Time now) {
  std::vector<TaskKey> due;
  for (auto& [task, run] : this->tasks) {
    if (now >= run.next_stop && this->MustStop(task, run, now)) {
      run.next_stop = now + kStopRetryInterval;
      due.push_back(task);
    }
  }
  this->ForgetIdleOwners(now);
  return due;
}

void RunWatchdog::ForgetIdleOwners(Time now) {
  if (now < this->next_cleanup) {
    return;
  }
  const auto forget_after = kMaxOwnerSilence * kForgetAfterSilences;
  this->next_cleanup = now + forget_after;
  std::erase_if(this->last_heard, [&](const auto& item) {
    const bool has_tasks = std::ranges::any_of(
        this->tasks, [&](const auto& run) { return run.first.ticket.owner == item.first; });
    return !has_tasks && now - item.second >= forget_after;
  });
}

}  // namespace quetzalvale
