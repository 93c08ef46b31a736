/// Threads for work that waits for the platform.
#pragma once

#include <functional>
#include <thread>
#include <vector>

#include "runtime/ring.h"

namespace quetzalvale {

/// Runs functions on a few threads, fed by a bounded ring. Thread-safe but for Stop.
class WorkerPool {
 public:
  WorkerPool(int threads, std::size_t capacity);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Returns false when too much work waits; the function is then not run.
  bool TryRun(std::function<void()> function);

  /// Runs what is waiting, then ends the threads. May be called twice.
  void Stop();

 private:
  Ring<std::function<void()>> ring;
  std::vector<std::thread> threads;
};

}  // namespace quetzalvale
