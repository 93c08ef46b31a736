/// Answers kept for resubmissions.
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

/// Keeps the first answer given under each key, bounded by number, age and bytes; the oldest go
/// first. Not thread-safe.
template <typename Key>
class AnswerStore {
 public:
  struct Entry {
    std::uint64_t body_hash = 0;
    Answer answer;
    Time kept_at{};
    std::size_t bytes = 0;
  };

  /// A few thousand answers of typical size; with the queue it keeps an entry far below the
  /// memory of its machine when results are large.
  static constexpr std::size_t kMaxBytes = std::size_t{32} << 20;

  void SetLimits(std::size_t new_max_count, Time::duration new_max_age) {
    this->max_count = new_max_count;
    this->max_age = new_max_age;
    this->Trim();
  }

  /// Does nothing when there is an answer under the key already: answers are final.
  void Keep(const Key& key, std::uint64_t body_hash, Answer answer, Time now) {
    const std::size_t size = Bytes(answer);
    const auto [position, added] =
        this->entries.try_emplace(key, Entry{body_hash, std::move(answer), now, size});
    if (!added) {
      return;
    }
    this->bytes += size;
    this->order.push_back(key);
    this->Trim();
  }

  /// Returns the answer or nullptr.
  const Entry* Find(const Key& key) const {
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
  }

  /// Drops answers that are too old.
  void Expire(Time now) {
    while (!this->order.empty() &&
           this->entries.at(this->order.front()).kept_at + this->max_age <= now) {
      this->DropOldest();
    }
  }

  std::size_t Size() const { return this->entries.size(); }

  /// Approximate memory of the answers.
  std::size_t TotalBytes() const { return this->bytes; }

  /// Keys from the oldest to the newest answer.
  const std::deque<Key>& Keys() const { return this->order; }

 private:
  static std::size_t Bytes(const Answer& answer) {
    constexpr std::size_t kFixed = 512;
    constexpr std::size_t kPerResult = sizeof(std::string);
    std::size_t total = kFixed + answer.message.size() + answer.reason.size();
    for (const auto& result : answer.results) {
      total += result.size() + kPerResult;
    }
    return total;
  }

  void Trim() {
    while (!this->order.empty() &&
           (this->entries.size() > this->max_count || this->bytes > kMaxBytes)) {
      this->DropOldest();
    }
  }

  void DropOldest() {
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
