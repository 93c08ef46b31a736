#include "core/agent/attempt_limits.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Owners are forgotten after this many leases; until then their next start finds the entry in
/// place.
constexpr int kForgetAfterLeases = 100;

}  // namespace

void AttemptLimits::Heard(const Incarnation& owner, Time now) { this->heard[owner] = now; }

void AttemptLimits::Add(const TaskKey& task, Time deadline) { this->tasks[task] = {deadline, {}}; }

void AttemptLimits::Remove(const TaskKey& task) { this->tasks.erase(task); }

bool AttemptLimits::IsSilent(const Incarnation& owner, Time now, Milliseconds time) const {
  const auto found = this->heard.find(owner);
  return found == this->heard.end() || now - found->second >= time;
}

bool AttemptLimits::MustEnd(const TaskKey& task, const Watched& watched, Time now) const {
  return now >= watched.deadline || this->IsSilent(task.ticket.owner, now, kOwnerLease);
}

bool AttemptLimits::ForbidsExtension(Time now) const {
  return std::ranges::any_of(this->tasks, [&](const auto& item) {
    return this->IsSilent(item.first.ticket.owner, now, kLastExtension);
  });
}

std::vector<TaskKey> AttemptLimits::TakeDue(Time now) {
  std::vector<TaskKey> due;
  for (auto& [task, watched] : this->tasks) {
    if (now >= watched.next_stop && this->MustEnd(task, watched, now)) {
      watched.next_stop = now + kRepeat;
      due.push_back(task);
    }
  }
  this->ForgetOwners(now);
  return due;
}

void AttemptLimits::ForgetOwners(Time now) {
  if (now < this->next_forget) {
    return;
  }
  const auto age = kOwnerLease * kForgetAfterLeases;
  this->next_forget = now + age;
  std::erase_if(this->heard, [&](const auto& item) {
    const bool has_tasks = std::ranges::any_of(
        this->tasks, [&](const auto& watched) { return watched.first.ticket.owner == item.first; });
    return !has_tasks && now - item.second >= age;
  });
}

}  // namespace quetzalvale
