// Speed of workers, nearness to data, and moving tasks away from workers that have become slow.
#include <algorithm>
#include <chrono>
#include <vector>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Tasks are moved away only from a worker that is slower than this, relative to the mean of the
/// fleet. The slow kind of worker has about half of the mean speed.
constexpr double kSlowSpeed = 0.4;

/// A task is moved only if it is expected to take this much longer where it is than elsewhere.
constexpr double kMinMoveGain = 2;

/// Time to stop a run, to learn of its end and to start the task elsewhere.
constexpr Milliseconds kMoveTime{40};

/// Interval at which the tasks on one agent are considered for moving.
constexpr Milliseconds kMoveCheckInterval{50};

/// A task that has been away for this multiple of the time expected on the slow worker is long
/// itself, and would be as long elsewhere. The factor of RunSpeed for overdue runs.
constexpr double kLongTaskFactor = 2;

/// A run that has already taken longer than expected at the present speed is assumed to need this
/// share of the whole time more.
constexpr double kOverdueRemainder = 0.5;

Time::duration Scale(Microseconds time, double factor) {
  return std::chrono::duration_cast<Time::duration>(
      std::chrono::duration<double, std::micro>(static_cast<double>(time.count()) * factor));
}

}  // namespace

double EntryCore::SpeedOf(const ServiceState& service, const Agent& agent) {
  const double reported = agent.announce.load.speed;
  return reported > 0 ? reported : service.model.Speed(agent.announce.name);
}

double EntryCore::RunFactor(const ServiceState& service, std::string_view data_rack,
                            const Agent& agent) {
  return data_rack.empty() || agent.HasLabel(data_rack) ? 1
                                                        : service.configuration->remote_data_factor;
}

std::optional<Milliseconds> EntryCore::StartWithin(const ServiceState& service, const Job& job,
                                                   const Task& task, const Agent& agent) const {
  if (!job.target) {
    return std::nullopt;
  }
  const Time::duration run = Scale(task.expected, task.run_factor / SpeedOf(service, agent));
  return std::chrono::duration_cast<Milliseconds>(job.target->on_time - this->now - run);
}

bool EntryCore::IsDataServed(const ServiceState& service, const Job& job) const {
  return std::ranges::any_of(this->directory.Agents(), [&](const auto& element) {
    const Agent& agent = element.second;
    return agent.announce.service == service.name && this->TakesStarts(agent) &&
           !this->IsLost(agent) && service.health.IsAvailable(agent.announce.name) &&
           RunFactor(service, job.data_rack, agent) <= 1;
  });
}

void EntryCore::RecordLoad(const Incarnation& incarnation, const AgentLoad& load) {
  Agent* agent = this->directory.Find(incarnation);
  if (agent == nullptr) {
    return;
  }
  const bool was_evacuated = this->IsEvacuated(*agent);
  this->directory.RecordReport(incarnation, &load, this->now);
  this->evacuations.Learn(agent->announce.data_centre, load);
  if (!was_evacuated && this->IsEvacuated(*agent)) {
    // Another entry has told the agent. Jobs here may have lost their last agent.
    this->FindService(agent->announce.service)->jobs_at_risk = true;
  }
  this->MoveTasksIfSlow(*agent);
}

void EntryCore::MoveTasksIfSlow(Agent& agent) {
  const double speed = agent.announce.load.speed;
  if (speed <= 0 || speed >= kSlowSpeed || agent.outstanding.empty() ||
      this->now < agent.next_move_check) {
    return;
  }
  agent.next_move_check = this->now + kMoveCheckInterval;
  ServiceState& service = *this->FindService(agent.announce.service);
  std::vector<TaskRef> moved;
  for (const auto& [ref, expected] : agent.outstanding) {
    const Job& job = *this->jobs.Find(ref.job);
    if (this->IsWorthMoving(service, job, job.tasks[ref.index], agent) &&
        service.retry_budget.TrySpend()) {
      moved.push_back(ref);
    }
  }
  for (const TaskRef& ref : moved) {
    Task& task = this->jobs.Find(ref.job)->tasks[ref.index];
    task.moved = true;
    this->Log(1043, "task_moved",
              "job=" + this->jobs.Find(ref.job)->name + " task=" + std::to_string(ref.index) +
                  " agent=" + agent.announce.name + " speed=" + std::to_string(speed) +
                  " away_ms=" +
                  std::to_string(
                      std::chrono::duration_cast<Milliseconds>(this->now - task.sent_at).count()) +
                  " expected_ms=" + std::to_string(task.expected.count() / 1000));
    this->Withdraw(ref, true);
  }
}

bool EntryCore::IsWorthMoving(const ServiceState& service, const Job& job, const Task& task,
                              const Agent& agent) const {
  if (!job.target || job.failure || job.answered || task.moved ||
      task.state != JobTaskState::kSent) {
    return false;
  }
  const Time::duration elapsed = this->now - task.sent_at;
  const Time::duration here = Scale(task.expected, task.run_factor / agent.announce.load.speed);
  if (elapsed > here * kLongTaskFactor) {
    return false;
  }
  const Time::duration remaining = std::max(
      here - elapsed, std::chrono::duration_cast<Time::duration>(here * kOverdueRemainder));
  const bool near_data = this->IsDataServed(service, job);
  const Time::duration elsewhere =
      Scale(task.expected, near_data ? 1 : service.configuration->remote_data_factor) + kMoveTime;
  return remaining > elsewhere * kMinMoveGain && this->now + elsewhere <= job.target->useful_until;
}

}  // namespace quetzalvale
