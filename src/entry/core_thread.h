/// The thread that owns an entry's decision logic.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <variant>
#include <vector>

#include "core/entry/entry_core.h"
#include "runtime/clock.h"
#include "runtime/event_loop.h"
#include "runtime/lag_meter.h"

namespace quetzalvale {

/// Hands events to EntryCore and its actions to a runner, all on one thread. The Post functions are
/// thread-safe.
class CoreThread {
 public:
  /// Runs the actions of one event; must not block.
  using Runner =
      std::function<void(Time posted, const EntryEvent& event, std::vector<EntryAction> actions)>;
  using StatusReceiver = std::function<void(const EntryStatus&)>;

  /// `clock` must outlive the thread. `max_waiting_bytes` limits the memory of the jobs that wait
  /// for the thread.
  CoreThread(EntryCore core, const Clock& clock, Runner run, std::size_t max_waiting_bytes);
  ~CoreThread();
  CoreThread(const CoreThread&) = delete;
  CoreThread& operator=(const CoreThread&) = delete;

  void Start();

  /// Handles what was posted before, then ends the thread.
  void Stop();

  /// Posts a request from outside. Returns false when the entry is overloaded, or the jobs that
  /// wait take too much memory; the event is then not handled. Leaves room in the ring for results.
  bool PostRequest(EntryEvent event);

  /// Posts a result that the logic waits for; waits for room. Lost only when the thread has
  /// stopped.
  void PostResult(EntryEvent event);

  /// Calls `receive` on the core thread. Returns false when the entry is overloaded.
  bool PostStatusRequest(StatusReceiver receive);

  /// Longest time that an event waited lately until it was handled.
  Time::duration Lag() const { return this->lag.Longest(this->clock.Now()); }

 private:
  struct Item {
    Time posted;
    std::variant<EntryEvent, StatusReceiver> content;
    /// Counted in waiting_bytes.
    std::size_t bytes = 0;
  };

  void Handle(const Item& item);
  void HandleEvent(Time posted, const EntryEvent& event);

  EntryCore core;
  const Clock& clock;
  Runner run;
  LagMeter lag;
  const std::size_t max_waiting_bytes;
  std::atomic<std::size_t> waiting_bytes{0};
  EventLoop<Item> loop;
};

}  // namespace quetzalvale
