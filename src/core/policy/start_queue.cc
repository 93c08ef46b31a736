#include "core/policy/start_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace quetzalvale {
namespace {

/// Share of the time to deadline after which a task overtakes more urgent ones.
constexpr double kOvertakeShare = 0.05;

/// Steps in which the overtaking work is summed; short against the waits that admission refuses.
constexpr Milliseconds kStep{100};

/// The sum of FairWorkAhead grows with each round and is bounded; its last part is not needed.
constexpr int kRounds = 8;

std::int64_t StepOf(Time time) { return time.time_since_epoch() / kStep; }

}  // namespace

Time StartQueue::OvertakesAt(Time submitted, Time deadline) {
  const auto wait = std::chrono::duration<double>(deadline - submitted) * kOvertakeShare;
  return submitted + std::chrono::duration_cast<Time::duration>(wait);
}

FairQueue& StartQueue::QueueOf(const Entry& entry) {
  return entry.overtakes ? this->overtaking : this->levels[entry.waiting.urgency];
}

void StartQueue::Add(const Waiting& waiting) {
  const FairQueue::Item item{waiting.deadline, waiting.task, waiting.expected};
  if (!this->entries.try_emplace(waiting.task, Entry{waiting, item}).second) {
    return;
  }
  this->levels[waiting.urgency].Add(waiting.team, item);
  const Time overtakes_at = OvertakesAt(waiting.submitted, waiting.deadline);
  Later& later = this->later_work[waiting.urgency][StepOf(overtakes_at)];
  later.work += waiting.expected;
  ++later.tasks;
  this->overtakes_next.insert({overtakes_at, waiting.task});
}

void StartQueue::LeaveLevel(const Entry& entry) {
  const Waiting& waiting = entry.waiting;
  const Time overtakes_at = OvertakesAt(waiting.submitted, waiting.deadline);
  this->overtakes_next.erase({overtakes_at, waiting.task});
  LaterByStep& later = this->later_work[waiting.urgency];
  const auto step = later.find(StepOf(overtakes_at));
  step->second.work -= waiting.expected;
  if (--step->second.tasks == 0) {
    later.erase(step);
  }
}

void StartQueue::Advance(Time now) {
  while (!this->overtakes_next.empty() && this->overtakes_next.begin()->first <= now) {
    const auto [overtakes_at, task] = *this->overtakes_next.begin();
    Entry& entry = this->entries.find(task)->second;
    this->QueueOf(entry).Remove(entry.waiting.team, entry.item);
    this->LeaveLevel(entry);
    entry.overtakes = true;
    entry.item.rank = overtakes_at;
    this->QueueOf(entry).Add(entry.waiting.team, entry.item);
  }
}

void StartQueue::Remove(const TaskRef& task) { this->Erase(task, false); }

void StartQueue::Take(const TaskRef& task) { this->Erase(task, true); }

void StartQueue::Erase(const TaskRef& task, bool taken) {
  const auto found = this->entries.find(task);
  if (found == this->entries.end()) {
    return;
  }
  const Entry& entry = found->second;
  if (taken) {
    this->QueueOf(entry).Take(entry.waiting.team, entry.item);
  } else {
    this->QueueOf(entry).Remove(entry.waiting.team, entry.item);
  }
  if (!entry.overtakes) {
    this->LeaveLevel(entry);
  }
  this->entries.erase(found);
}

Microseconds StartQueue::FairWorkAhead(const Newcomer& job) const {
  std::map<std::string, Microseconds, std::less<>> teams;
  this->overtaking.AddWork(teams);
  for (const auto& [urgency, level] : this->levels) {
    if (urgency <= job.urgency) {
      level.AddWork(teams);
    }
  }
  for (const auto& [team, share] : job.arrivals) {
    teams.try_emplace(team);
  }
  const auto found = teams.find(job.team);
  const Microseconds own = job.work + (found == teams.end() ? Microseconds{0} : found->second);
  // While `total` is done, each other team brings work and gets no more than this team.
  Microseconds total = own;
  for (int round = 0; round < kRounds; ++round) {
    Microseconds next = own;
    for (const auto& [team, waiting] : teams) {
      if (team == job.team) {
        continue;
      }
      const auto arrivals = job.arrivals.find(team);
      const double share = arrivals == job.arrivals.end() ? 0 : arrivals->second;
      const Microseconds brought(std::llround(static_cast<double>(total.count()) * share));
      next += std::min(waiting + brought, own);
    }
    if (next == total) {
      break;
    }
    total = next;
  }
  return total - job.work;
}

Microseconds StartQueue::LaterWorkAhead(const Newcomer& job) const {
  Microseconds ahead{0};
  for (const auto& [urgency, later] : this->later_work) {
    if (urgency <= job.urgency) {
      continue;
    }
    for (const auto& [step, sum] : later) {
      if (step < StepOf(job.overtakes_at)) {
        ahead += sum.work;
      }
    }
  }
  return ahead;
}

Microseconds StartQueue::WorkAhead(const Newcomer& job) const {
  // Until the job overtakes, all overtaking and all more urgent work goes first; afterwards, fair
  // shares of it.
  Microseconds first = this->overtaking.Work();
  for (const auto& [urgency, level] : this->levels) {
    first += urgency < job.urgency ? level.Work() : Microseconds{0};
  }
  return std::max(std::min(first, job.done_until_then), this->FairWorkAhead(job)) +
         this->LaterWorkAhead(job);
}

StartQueue::Walk::Walk(const StartQueue& queue)
    : queue(&queue), next_level(queue.levels.begin()), current(queue.overtaking) {}

std::optional<TaskRef> StartQueue::Walk::Next() {
  while (true) {
    if (auto task = this->current.Next()) {
      return task;
    }
    if (this->next_level == this->queue->levels.end()) {
      return std::nullopt;
    }
    this->current = FairQueue::Walk(this->next_level->second);
    ++this->next_level;
  }
}

}  // namespace quetzalvale
