#include "core/start_queue.h"

namespace quetzalvale {

void StartQueue::Add(const TaskRef& task, int urgency, Time deadline, Microseconds expected) {
  const Item item{urgency, deadline, task};
  if (!this->entries.try_emplace(task, Entry{item, expected}).second) {
    return;
  }
  this->items.insert(item);
  Load& load = this->loads[urgency];
  ++load.count;
  load.work += expected;
}

void StartQueue::Remove(const TaskRef& task) {
  const auto found = this->entries.find(task);
  if (found == this->entries.end()) {
    return;
  }
  const auto load = this->loads.find(found->second.item.urgency);
  load->second.work -= found->second.expected;
  if (--load->second.count == 0) {
    this->loads.erase(load);
  }
  this->items.erase(found->second.item);
  this->entries.erase(found);
}

std::size_t StartQueue::CountUpTo(int urgency) const {
  std::size_t count = 0;
  for (const auto& [level, load] : this->loads) {
    if (level <= urgency) {
      count += load.count;
    }
  }
  return count;
}

Microseconds StartQueue::WorkUpTo(int urgency) const {
  Microseconds work{0};
  for (const auto& [level, load] : this->loads) {
    if (level <= urgency) {
      work += load.work;
    }
  }
  return work;
}

}  // namespace quetzalvale
