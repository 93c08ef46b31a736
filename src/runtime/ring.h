/// Bounded queue that joins the threads of a process.
#pragma once

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace quetzalvale {

/// Bounded first-in-first-out ring for any number of producers and consumers. Thread-safe.
/// boost::lockfree::spsc_queue does not fit: the rings here have several producers.
template <typename T>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : items(capacity) {}

  /// Appends the item unless the ring is full or closed. Returns whether it was taken.
  bool TryPush(T item) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->items.full()) {
        return false;
      }
      this->items.push_back(std::move(item));
    }
    this->ready.notify_one();
    return true;
  }

  /// Waits until an item is there, the time is reached or the ring is closed.
  std::optional<T> PopUntil(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock(this->mutex);
    this->ready.wait_until(lock, deadline, [this] { return this->closed || !this->items.empty(); });
    return this->TakeFirst();
  }

  /// Waits until an item is there or the ring is closed.
  std::optional<T> Pop() {
    std::unique_lock lock(this->mutex);
    this->ready.wait(lock, [this] { return this->closed || !this->items.empty(); });
    return this->TakeFirst();
  }

  /// Refuses further items and wakes all waiters; items already inside can still be taken.
  void Close() {
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->ready.notify_all();
  }

  /// Returns whether Close was called.
  bool IsClosed() const {
    const std::lock_guard lock(this->mutex);
    return this->closed;
  }

  std::size_t Size() const {
    const std::lock_guard lock(this->mutex);
    return this->items.size();
  }

 private:
  /// Precondition: the mutex is held.
  std::optional<T> TakeFirst() {
    if (this->items.empty()) {
      return std::nullopt;
    }
    std::optional<T> first(std::move(this->items.front()));
    this->items.pop_front();
    return first;
  }

  mutable std::mutex mutex;
  std::condition_variable ready;
  boost::circular_buffer<T> items;
  bool closed = false;
};

}  // namespace quetzalvale
