/// Stored answers, which are given again to resubmissions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/messages.h"
#include "core/types.h"

namespace quetzalvale {

/// Stores the first answer given under each key. Bounded by number, age and bytes; the oldest
/// answers are dropped first. Not thread-safe.
template <typename Key>
class AnswerStore {
 public:
  struct Entry {
    std::uint64_t body_hash = 0;
    Answer answer;
    Time kept_at{};
    std::size_t bytes = 0;
  };

  /// A few thousand answers of typical size. When results are large, this limit and that of the
  /// queue keep an entry far below the memory of its machine.
  static constexpr std::size_t kMaxBytes = std::size_t{32} << 20;

  /// Sets the limits of number and age; drops answers at once if there are too many.
  void SetLimits(std::size_t new_max_count, Time::duration new_max_age) {
    this->max_count = new_max_count;
    this->max_age = new_max_age;
    this->EvictExcess();
  }

  /// Stores the answer unless the key has one already: answers are final.
  void Keep(const Key& key, std::uint64_t body_hash, Answer answer, Time now) {
    const std::size_t size = ApproximateBytes(answer);
    const auto [position, added] =
        this->entries.try_emplace(key, Entry{body_hash, std::move(answer), now, size});
    if (!added) {
      return;
    }
    this->bytes += size;
    this->order.push_back(key);
    this->EvictExcess();
  }

  /// Returns the answer or nullptr.
  const Entry* Find(const Key& key) const {
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
  }

  /// Drops answers older than the age limit.
  void Expire(Time now) {
    while (!this->order.empty() &&
           this->entries.at(this->order.front()).kept_at + this->max_age <= now) {
      this->EvictOldest();
    }
  }

  std::size_t Size() const { return this->entries.size(); }

  /// Approximate memory of the answers, in bytes.
  std::size_t TotalBytes() const { return this->bytes; }

  /// Keys in the order of storage, oldest first.
  const std::deque<Key>& Keys() const { return this->order; }

 private:
  static std::size_t ApproximateBytes(const Answer& answer) {
    constexpr std::size_t kFixedBytes = 512;
    constexpr std::size_t kBytesPerResult = sizeof(std::string);
    std::size_t total = kFixedBytes + answer.message.size() + answer.reason.size();
    for (const auto& result : answer.results) {
      total += result.size() + kBytesPerResult;
    }
    return total;
  }

  void EvictExcess() {
    while (!this->order.empty() &&
           (this->entries.size() > this->max_count || this->bytes > kMaxBytes)) {
      this->EvictOldest();
    }
  }

  void EvictOldest() {
    const auto found = this->entries.find(this->order.front());
    this->bytes -= found->second.bytes;
    this->entries.erase(found);
    this->order.pop_front();
  }

  std::size_t max_count = 10000;
  Time::duration max_age = std::chrono::seconds(600);
  std::size_t bytes = 0;
  std::unordered_map<Key, Entry> entries;
  std::deque<Key> order;
};

}  // namespace quetzalvale
