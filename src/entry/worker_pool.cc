#include "entry/worker_pool.h"

#include <utility>

#include "runtime/guard.h"

namespace quetzalvale {

WorkerPool::WorkerPool(int threads, std::size_t capacity) : ring(capacity) {
  for (int i = 0; i < threads; ++i) {
    this->threads.emplace_back([this] {
      while (auto function = this->ring.Pop()) {
        RunGuarded("worker_pool", *function);
      }
    });
  }
}

WorkerPool::~WorkerPool() { this->Stop(); }

bool WorkerPool::TryRun(std::function<void()> function) {
  return this->ring.TryPush(std::move(function));
}

void WorkerPool::Stop() {
  this->ring.Close();
  for (auto& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace quetzalvale
