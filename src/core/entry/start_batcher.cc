#include "core/entry/start_batcher.h"

#include <algorithm>
#include <iterator>

namespace quetzalvale {

void StartBatcher::Add(const Incarnation& agent, const TaskRef& task, Time now, Microseconds delay,
                       std::size_t limit) {
  const auto [found, added] = this->pending.try_emplace(agent);
  Pending& batch = found->second;
  if (added) {
    batch.due = now + delay;
  }
  batch.limit = std::max<std::size_t>(1, limit);
  batch.tasks.push_back(task);
  if (batch.tasks.size() >= batch.limit) {
    batch.due = now;
  }
}

void StartBatcher::Remove(const Incarnation& agent, const TaskRef& task) {
  const auto found = this->pending.find(agent);
  if (found == this->pending.end()) {
    return;
  }
  std::erase(found->second.tasks, task);
  if (found->second.tasks.empty()) {
    this->pending.erase(found);
  }
}

std::vector<StartBatcher::Batch> StartBatcher::TakeDue(Time now) {
  std::vector<Batch> due;
  for (auto current = this->pending.begin(); current != this->pending.end();) {
    if (current->second.due > now) {
      ++current;
      continue;
    }
    const auto& tasks = current->second.tasks;
    for (std::size_t first = 0; first < tasks.size(); first += current->second.limit) {
      const std::size_t last = std::min(tasks.size(), first + current->second.limit);
      Batch batch{current->first, {}};
      std::copy(tasks.begin() + static_cast<std::ptrdiff_t>(first),
                tasks.begin() + static_cast<std::ptrdiff_t>(last), std::back_inserter(batch.tasks));
      due.push_back(std::move(batch));
    }
    current = this->pending.erase(current);
  }
  return due;
}

}  // namespace quetzalvale
