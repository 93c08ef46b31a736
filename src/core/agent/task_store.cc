#include "core/agent/task_store.h"

#include <algorithm>

namespace quetzalvale {
namespace {

std::size_t OutcomeBytes(const TaskRecord& record) {
  return record.outcome.result.size() + record.outcome.reason.size();
}

}  // namespace

bool TaskStore::MakeRoom(std::size_t payload_bytes) {
  const auto full = [&] {
    return this->records.size() >= this->limits.records ||
           this->bytes + payload_bytes > this->limits.bytes;
  };
  while (full() && !this->released_ran.empty()) {
    this->DiscardOldest(&this->released_ran);
  }
  return !full();
}

void TaskStore::Add(const TaskKey& task, TaskRecord record) {
  record.state = TaskState::kQueued;
  this->bytes += record.payload.size();
  this->records.insert_or_assign(task, std::move(record));
  this->queue.push_back(task);
  ++this->unfinished_by_owner[task.ticket.owner];
}

const TaskRecord* TaskStore::Find(const TaskKey& task) const {
  const auto found = this->records.find(task);
  return found == this->records.end() ? nullptr : &found->second;
}

std::vector<TaskKey> TaskStore::TasksOf(const Ticket& ticket) const {
  std::vector<TaskKey> tasks;
  for (auto it = this->records.lower_bound(TaskKey{ticket, 0});
       it != this->records.end() && it->first.ticket == ticket; ++it) {
    tasks.push_back(it->first);
  }
  return tasks;
}

std::vector<TaskKey> TaskStore::QueuedTasks() const {
  std::vector<TaskKey> tasks(this->queue.begin(), this->queue.end());
  std::ranges::stable_sort(tasks, {}, [this](const TaskKey& task) {
    return this->records.at(task).start_by.value_or(Time::max());
  });
  return tasks;
}

bool TaskStore::HasUnfinished(const Incarnation& owner) const {
  return this->unfinished_by_owner.contains(owner);
}

std::string TaskStore::Dispatch(const TaskKey& task) {
  TaskRecord& record = this->records.at(task);
  std::erase(this->queue, task);
  record.state = TaskState::kRunning;
  record.dispatched = true;
  ++this->running;
  this->bytes -= record.payload.size();
  std::string payload = std::move(record.payload);
  record.payload = std::string();
  return payload;
}

void TaskStore::Finish(const TaskKey& task, Outcome outcome, bool refused) {
  TaskRecord& record = this->records.at(task);
  if (record.state == TaskState::kFinished) {
    return;
  }
  if (record.state == TaskState::kRunning) {
    --this->running;
  } else {
    std::erase(this->queue, task);
  }
  if (--this->unfinished_by_owner[task.ticket.owner] == 0) {
    this->unfinished_by_owner.erase(task.ticket.owner);
  }
  this->bytes -= record.payload.size();
  record.payload = std::string();
  record.state = TaskState::kFinished;
  record.refused = refused;
  record.outcome = std::move(outcome);
  record.outcome.task = task;
  record.outcome.channel_sequence = record.channel_sequence;
  this->bytes += OutcomeBytes(record);
}

void TaskStore::RemoveQueued(const TaskKey& task) {
  const auto found = this->records.find(task);
  this->bytes -= found->second.payload.size();
  std::erase(this->queue, task);
  if (--this->unfinished_by_owner[task.ticket.owner] == 0) {
    this->unfinished_by_owner.erase(task.ticket.owner);
  }
  this->records.erase(found);
}

void TaskStore::Release(const TaskKey& task, Time now) {
  const auto found = this->records.find(task);
  if (found == this->records.end() || found->second.state != TaskState::kFinished ||
      found->second.released) {
    return;
  }
  found->second.released = true;
  ReleasedQueue& target = found->second.DidNotRun() ? this->released_not_run : this->released_ran;
  target.emplace_back(now, task);
}

void TaskStore::RemoveReleased(const TaskKey& task) {
  const auto found = this->records.find(task);
  ReleasedQueue& queue = found->second.DidNotRun() ? this->released_not_run : this->released_ran;
  this->bytes -= OutcomeBytes(found->second);
  this->records.erase(found);
  std::erase_if(queue, [&](const auto& item) { return item.second == task; });
}

void TaskStore::DiscardExpired(Time now) {
  for (ReleasedQueue* released : {&this->released_ran, &this->released_not_run}) {
    while (!released->empty() && now - released->front().first >= this->limits.retention) {
      this->DiscardOldest(released);
    }
  }
}

void TaskStore::DiscardOldest(ReleasedQueue* released_queue) {
  const auto found = this->records.find(released_queue->front().second);
  this->bytes -= OutcomeBytes(found->second);
  this->records.erase(found);
  released_queue->pop_front();
}

}  // namespace quetzalvale
