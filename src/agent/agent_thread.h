/// The thread that owns an agent's decision logic.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include "core/agent/agent_core.h"
#include "runtime/clock.h"
#include "runtime/event_loop.h"
#include "runtime/metrics.h"

namespace quetzalvale {

/// Hands events to AgentCore and its actions to a runner, all on one thread. The Post functions and
/// IsReady are thread-safe.
class AgentThread {
 public:
  /// Runs one action; must not block.
  using Runner = std::function<void(const AgentAction&)>;

  /// `core`, `clock` and `metrics` must outlive the thread.
  AgentThread(AgentCore& core, const Clock& clock, Metrics& metrics, Runner run);
  ~AgentThread();
  AgentThread(const AgentThread&) = delete;
  AgentThread& operator=(const AgentThread&) = delete;

  void Start();

  /// Handles what was posted before, then ends the thread.
  void Stop();

  /// Posts a message from an entry. Returns false when the agent is overloaded; the event is then
  /// not handled. Leaves room in the ring for results.
  bool PostRequest(AgentEvent event);

  /// Posts a result that the logic waits for; waits for room. Lost only when the thread has
  /// stopped.
  void PostResult(AgentEvent event);

  /// Whether the agent takes starts.
  bool IsReady() const { return this->ready; }
  /// See AgentCore::IsEvacuated. Thread-safe.
  bool IsEvacuated() const { return this->evacuated; }

 private:
  void Handle(const AgentEvent& event);
  void CountOutcomes();

  AgentCore& core;
  const Clock& clock;
  Metrics& metrics;
  Runner run;
  std::atomic<bool> ready{false};
  std::atomic<bool> evacuated{false};
  std::uint64_t counted_sent = 0;
  std::uint64_t counted_repeated = 0;
  std::uint64_t counted_useful = 0;
  EventLoop<AgentEvent> loop;
};

}  // namespace quetzalvale
