/// The thread that owns a process's decision logic.
#pragma once

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include "runtime/ring.h"

namespace quetzalvale {

/// Runs one handler on one thread for every posted event, in order, and calls `tick` whenever a
/// tick period has passed. Post is thread-safe; Start and Stop belong to the owning thread.
template <typename Event>
class EventLoop {
 public:
  EventLoop(std::size_t capacity, std::chrono::milliseconds tick_period,
            std::function<void(Event)> handle, std::function<void()> tick)
      : ring(capacity),
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

  /// Handles what was posted before, then ends the thread. May be called twice.
  void Stop() {
    this->ring.Close();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::size_t Backlog() const { return this->ring.Size(); }

 private:
  void Run() {
    auto next_tick = std::chrono::steady_clock::now() + this->tick_period;
    while (true) {
      auto event = this->ring.PopUntil(next_tick);
      if (event) {
        this->handle(std::move(*event));
      } else if (this->ring.IsClosed()) {
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      if (now >= next_tick) {
        this->tick();
        next_tick = now + this->tick_period;
      }
    }
  }

  Ring<Event> ring;
  std::chrono::milliseconds tick_period;
  std::function<void(Event)> handle;
  std::function<void()> tick;
  std::thread thread;
};

}  // namespace quetzalvale
