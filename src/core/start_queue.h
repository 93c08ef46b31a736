/// Tasks that wait at an entry for an agent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

#include "core/job_table.h"
#include "core/types.h"

namespace quetzalvale {

/// Orders waiting tasks by urgency, then by deadline, then by arrival. Not thread-safe.
class StartQueue {
 public:
  struct Item {
    int urgency = 0;
    Time deadline{};
    TaskRef task;

    bool operator<(const Item& other) const {
      return std::tie(this->urgency, this->deadline, this->task) <
             std::tie(other.urgency, other.deadline, other.task);
    }
  };

  /// Adds a task that is not waiting yet.
  void Add(const TaskRef& task, int urgency, Time deadline, Microseconds expected);

  /// Does nothing when the task is not waiting.
  void Remove(const TaskRef& task);

  /// In the order in which tasks are placed.
  const std::set<Item>& Items() const { return this->items; }

  std::size_t Size() const { return this->items.size(); }

  /// Number and summed expected run time of waiting tasks at least as urgent as this.
  std::size_t CountUpTo(int urgency) const;
  Microseconds WorkUpTo(int urgency) const;

 private:
  struct Entry {
    Item item;
    Microseconds expected{0};
  };
  struct Load {
    std::size_t count = 0;
    Microseconds work{0};
  };

  std::set<Item> items;
  std::unordered_map<TaskRef, Entry> entries;
  std::map<int, Load> loads;
};

}  // namespace quetzalvale
