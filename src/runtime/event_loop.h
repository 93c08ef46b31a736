/// The thread that owns a process's decision logic.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "runtime/guard.h"
#include "runtime/ring.h"

namespace quetzalvale {

/// Runs one handler on one thread for every posted event, in order, and calls `tick` whenever a
/// tick period has passed. The Post functions are thread-safe; Start and Stop belong to the owning
/// thread.
template <typename Event>
class EventLoop {
 public:
  EventLoop(std::size_t capacity, std::chrono::milliseconds tick_period,
            std::function<void(Event)> handle, std::function<void()> tick)
      : ring(capacity),
        request_capacity(capacity / 2),
        tick_period(tick_period),
        handle(std::move(handle)),
        tick(std::move(tick)) {}

  ~EventLoop() { this->Stop(); }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Start() {
    this->thread = std::thread([this] { this->Run(); });
  }

  /// Returns false when the loop is overloaded or stopped; the event is then not handled.
  bool Post(Event event) { return this->ring.TryPush(std::move(event)); }

  /// Posts a request from outside. As Post, but leaves half of the ring to results.
  bool PostRequest(Event event) {
    return this->ring.Size() < this->request_capacity && this->Post(std::move(event));
  }

  /// Posts a result that the handler waits for; waits for room. On the loop's own thread, where
  /// waiting would never end, the result is handled after the current event. Lost only when the
  /// loop has stopped.
  void PostResult(Event event) {
    if (this->loop_thread.load() == std::this_thread::get_id()) {
      this->deferred.push_back(std::move(event));
      return;
    }
    while (!this->ring.TryPush(event) && !this->ring.IsClosed()) {
      std::this_thread::sleep_for(kPauseWhenFull);
    }
  }

  /// Handles what was posted before, then ends the thread. May be called twice.
  void Stop() {
    this->ring.Close();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  static constexpr std::chrono::milliseconds kPauseWhenFull{1};

  void Run() {
    this->loop_thread = std::this_thread::get_id();
    auto next_tick = std::chrono::steady_clock::now() + this->tick_period;
    while (true) {
      auto event = this->ring.PopUntil(next_tick);
      if (event) {
        RunGuarded("event_loop", [&] { this->handle(std::move(*event)); });
        this->HandleDeferred();
      } else if (this->ring.IsClosed()) {
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      if (now >= next_tick) {
        RunGuarded("event_loop_tick", [this] { this->tick(); });
        this->HandleDeferred();
        next_tick = now + this->tick_period;
      }
    }
  }

  void HandleDeferred() {
    while (!this->deferred.empty()) {
      for (auto& event : std::exchange(this->deferred, {})) {
        RunGuarded("event_loop", [&] { this->handle(std::move(event)); });
      }
    }
  }

  Ring<Event> ring;
  std::size_t request_capacity;
  std::chrono::milliseconds tick_period;
  std::function<void(Event)> handle;
  std::function<void()> tick;
  std::atomic<std::thread::id> loop_thread{};
  /// Results posted on the loop's own thread.
  std::vector<Event> deferred;
  std::thread thread;
};

}  // namespace quetzalvale
