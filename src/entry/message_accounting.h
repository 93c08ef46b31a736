/// Tells useful messages from wasted ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/entry/entry_events.h"

namespace quetzalvale {

/// Remembers the latest values, at least half of the capacity. Not thread-safe.
template <typename T>
class RecentSet {
 public:
  explicit RecentSet(std::size_t capacity) : half(capacity / 2) {}

  /// Returns whether the value was not remembered.
  bool Insert(const T& value) {
    if (this->older.contains(value) || !this->newer.insert(value).second) {
      return false;
    }
    if (this->newer.size() >= this->half) {
      this->older = std::exchange(this->newer, {});
    }
    return true;
  }

 private:
  std::size_t half;
  std::unordered_set<T> newer;
  std::unordered_set<T> older;
};

/// Counts the messages sent by this entry that carry a first start of a task, a first outcome or a
/// first answer. A call and its reply are one message, counted by its sender. Not thread-safe.
class MessageAccounting {
 public:
  MessageAccounting();

  /// Returns the number of useful messages among the event's reply and the actions.
  std::uint64_t CountUseful(const EntryEvent& event, const std::vector<EntryAction>& actions);

 private:
  bool IsFirst(const StartRequest& start);
  bool IsFirst(const std::vector<TaskReport>& reports);
  /// Remembers the outcomes; returns whether one of them is new.
  bool Note(const std::vector<Outcome>& outcomes);

  RecentSet<TaskKey> started;
  RecentSet<TaskKey> settled;
  RecentSet<Ticket> answered;
};

}  // namespace quetzalvale
