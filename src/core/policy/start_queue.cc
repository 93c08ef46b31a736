#include "core/policy/start_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace quetzalvale {
namespace {

/// A task overtakes more urgent ones after this share of its time to deadline.
constexpr double kOvertakeShare = 0.05;

/// A task with a schedule overtakes this long before its answer would be late.
constexpr Milliseconds kOvertakeMargin{20};

/// Resolution of the sums of overtaking work; short compared with the waits at which admission
/// rejects jobs.
constexpr Milliseconds kSumStep{100};

/// Limit on the iterations of FairWorkAhead. Its sum grows with each iteration but is bounded, and
/// the increments after these are negligible.
constexpr int kMaxIterations = 8;

std::int64_t StepOf(Time time) { return time.time_since_epoch() / kSumStep; }

}  // namespace

Time StartQueue::OvertakesAt(Time submitted, Time deadline) {
  const auto wait = std::chrono::duration<double>(deadline - submitted) * kOvertakeShare;
  return submitted + std::chrono::duration_cast<Time::duration>(wait);
}

Time StartQueue::OvertakesAt(Time submitted, const StartSchedule& schedule) {
  return std::max(submitted, schedule.latest_on_time - kOvertakeMargin);
}

Time StartQueue::OvertakesAt(const Waiting& waiting) {
  return waiting.schedule ? OvertakesAt(waiting.submitted, *waiting.schedule)
                          : OvertakesAt(waiting.submitted, waiting.deadline);
}

FairQueue& StartQueue::QueueOf(const QueuedTask& queued) {
  switch (queued.stage) {
    case QueuedTask::Stage::kOvertaking:
      return this->overtaking;
    case QueuedTask::Stage::kLate:
      return this->late;
    case QueuedTask::Stage::kLevel:
      break;
  }
  return this->levels[queued.waiting.urgency];
}

void StartQueue::Add(const Waiting& waiting) {
  const FairQueue::Item item{waiting.deadline, waiting.task, waiting.expected};
  if (!this->queued_tasks.try_emplace(waiting.task, QueuedTask{waiting, item}).second) {
    return;
  }
  this->levels[waiting.urgency].Add(waiting.team, item);
  const Time overtakes_at = OvertakesAt(waiting);
  UpcomingWork& upcoming = this->upcoming_work[waiting.urgency][StepOf(overtakes_at)];
  upcoming.work += waiting.expected;
  ++upcoming.tasks;
  this->by_overtaking_time.insert({overtakes_at, waiting.task});
  if (waiting.schedule) {
    this->by_late_time.insert({waiting.schedule->latest_on_time, waiting.task});
    this->by_expiry_time.insert({waiting.schedule->latest_useful, waiting.task});
  }
}

void StartQueue::LeaveLevel(const QueuedTask& queued) {
  const Waiting& waiting = queued.waiting;
  const Time overtakes_at = OvertakesAt(waiting);
  this->by_overtaking_time.erase({overtakes_at, waiting.task});
  UpcomingWorkByStep& upcoming = this->upcoming_work[waiting.urgency];
  const auto step = upcoming.find(StepOf(overtakes_at));
  step->second.work -= waiting.expected;
  if (--step->second.tasks == 0) {
    upcoming.erase(step);
  }
}

void StartQueue::Move(QueuedTask& queued, QueuedTask::Stage stage, Time rank) {
  this->QueueOf(queued).Remove(queued.waiting.team, queued.item);
  if (queued.stage == QueuedTask::Stage::kLevel) {
    this->LeaveLevel(queued);
  }
  queued.stage = stage;
  queued.item.rank = rank;
  this->QueueOf(queued).Add(queued.waiting.team, queued.item);
}

void StartQueue::Advance(Time now) {
  while (!this->by_overtaking_time.empty() && this->by_overtaking_time.begin()->first <= now) {
    const auto [overtakes_at, task] = *this->by_overtaking_time.begin();
    this->Move(this->queued_tasks.find(task)->second, QueuedTask::Stage::kOvertaking, overtakes_at);
  }
  while (!this->by_late_time.empty() && this->by_late_time.begin()->first < now) {
    const auto [late_at, task] = *this->by_late_time.begin();
    this->by_late_time.erase(this->by_late_time.begin());
    this->Move(this->queued_tasks.find(task)->second, QueuedTask::Stage::kLate, late_at);
  }
}

std::vector<TaskRef> StartQueue::TakeExpired(Time now) {
  std::vector<TaskRef> expired;
  while (!this->by_expiry_time.empty() && this->by_expiry_time.begin()->first <= now) {
    expired.push_back(this->by_expiry_time.begin()->second);
    this->by_expiry_time.erase(this->by_expiry_time.begin());
  }
  return expired;
}

void StartQueue::Remove(const TaskRef& task) { this->Erase(task, false); }

void StartQueue::Take(const TaskRef& task) { this->Erase(task, true); }

void StartQueue::Erase(const TaskRef& task, bool taken) {
  const auto found = this->queued_tasks.find(task);
  if (found == this->queued_tasks.end()) {
    return;
  }
  const QueuedTask& queued = found->second;
  if (taken) {
    this->QueueOf(queued).Take(queued.waiting.team, queued.item);
  } else {
    this->QueueOf(queued).Remove(queued.waiting.team, queued.item);
  }
  if (queued.stage == QueuedTask::Stage::kLevel) {
    this->LeaveLevel(queued);
  }
  if (queued.waiting.schedule) {
    this->by_late_time.erase({queued.waiting.schedule->latest_on_time, task});
    this->by_expiry_time.erase({queued.waiting.schedule->latest_useful, task});
  }
  this->queued_tasks.erase(found);
}

Microseconds StartQueue::FairWorkAhead(const ProspectiveJob& job) const {
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
  // While `total` work completes, each other team adds arrivals and gets at most as much as this
  // team.
  Microseconds total = own;
  for (int iteration = 0; iteration < kMaxIterations; ++iteration) {
    Microseconds next = own;
    for (const auto& [team, waiting] : teams) {
      if (team == job.team) {
        continue;
      }
      const auto arrivals = job.arrivals.find(team);
      const double share = arrivals == job.arrivals.end() ? 0 : arrivals->second;
      const Microseconds arriving(std::llround(static_cast<double>(total.count()) * share));
      next += std::min(waiting + arriving, own);
    }
    if (next == total) {
      break;
    }
    total = next;
  }
  return total - job.work;
}

Microseconds StartQueue::LessUrgentWorkAhead(const ProspectiveJob& job) const {
  Microseconds ahead{0};
  for (const auto& [urgency, upcoming] : this->upcoming_work) {
    if (urgency <= job.urgency) {
      continue;
    }
    for (const auto& [step, sum] : upcoming) {
      if (step < StepOf(job.overtakes_at)) {
        ahead += sum.work;
      }
    }
  }
  return ahead;
}

Microseconds StartQueue::WorkAhead(const ProspectiveJob& job) const {
  // Until the job overtakes, all overtaking and all more urgent work goes first; after that, only
  // the fair shares of it.
  Microseconds first = this->overtaking.Work();
  for (const auto& [urgency, level] : this->levels) {
    first += urgency < job.urgency ? level.Work() : Microseconds{0};
  }
  return std::max(std::min(first, job.completed_before_overtaking), this->FairWorkAhead(job)) +
         this->LessUrgentWorkAhead(job);
}

StartQueue::Walk::Walk(const StartQueue& queue)
    : queue(&queue), next_level(queue.levels.begin()), current(queue.overtaking) {}

std::optional<TaskRef> StartQueue::Walk::Next() {
  while (true) {
    if (auto task = this->current.Next()) {
      return task;
    }
    if (this->next_level == this->queue->levels.end()) {
      if (std::exchange(this->late_visited, true)) {
        return std::nullopt;
      }
      this->current = FairQueue::Walk(this->queue->late);
      continue;
    }
    this->current = FairQueue::Walk(this->next_level->second);
    ++this->next_level;
  }
}

}  // namespace quetzalvale
