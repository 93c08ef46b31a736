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

void RunWatchdog::Add(const TaskKey& task, Time deadline) {
  WatchedRun run;
  run.deadline = deadline;
  this->tasks[task] = run;
}

void RunWatchdog::Withdraw(const TaskKey& task, Time now) {
  const auto [found, added] = this->tasks.try_emplace(task);
  WatchedRun& run = found->second;
  if (added) {
    run.deadline = Time::max();
  }
  run.withdrawn = run.withdrawn.value_or(now);
}

void RunWatchdog::Remove(const TaskKey& task) { this->tasks.erase(task); }

bool RunWatchdog::IsSilent(const Incarnation& owner, Time now, Milliseconds time) const {
  const auto found = this->last_heard.find(owner);
  return found == this->last_heard.end() || now - found->second >= time;
}

std::optional<RunWatchdog::Reason> RunWatchdog::ReasonToStop(const TaskKey& task,
                                                             const WatchedRun& run,
                                                             Time now) const {
  if (run.withdrawn) {
    return Reason::kWithdrawn;
  }
  if (now >= run.deadline) {
    return Reason::kDeadline;
  }
  if (this->IsSilent(task.ticket.owner, now, kMaxOwnerSilence)) {
    return Reason::kOwnerSilent;
  }
  return std::nullopt;
}

bool RunWatchdog::ForbidsLeaseRenewal(Time now) const {
  return std::ranges::any_of(this->tasks, [&](const auto& item) {
    const auto& [task, run] = item;
    const Time had_to_end = std::min(run.deadline, run.withdrawn.value_or(run.deadline));
    // As a difference, because Time::max() plus a time would overflow.
    return now - had_to_end >= kMaxStopTimeForRenewal ||
           this->IsSilent(task.ticket.owner, now, kMaxSilenceForRenewal);
  });
}

std::vector<RunWatchdog::DueStop> RunWatchdog::TakeDue(Time now) {
  std::vector<DueStop> due;
  for (auto& [task, run] : this->tasks) {
    if (now < run.next_stop) {
      continue;
    }
    if (const auto reason = this->ReasonToStop(task, run, now)) {
      run.next_stop = now + kStopRetryInterval;
      ++run.stops;
      due.push_back({task, *reason, run.stops});
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
