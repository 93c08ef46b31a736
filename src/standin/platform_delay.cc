#include "standin/platform_delay.h"

#include <utility>

namespace quetzalvale {

DelayQueue::DelayQueue() : thread([this] { this->Run(); }) {}

DelayQueue::~DelayQueue() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    this->expedited = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

void DelayQueue::Expedite() {
  {
    const std::lock_guard lock(this->mutex);
    this->expedited = true;
  }
  this->changed.notify_all();
}

void DelayQueue::RunAfter(std::chrono::milliseconds delay, std::function<void()> function) {
  if (delay.count() <= 0) {
    function();
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->waiting.emplace(std::chrono::steady_clock::now() + delay, std::move(function));
  }
  this->changed.notify_all();
}

void DelayQueue::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped || !this->waiting.empty()) {
    if (this->waiting.empty()) {
      this->changed.wait(lock);
      continue;
    }
    const auto first = this->waiting.begin();
    if (!this->expedited && first->first > std::chrono::steady_clock::now()) {
      this->changed.wait_until(lock, std::chrono::steady_clock::time_point(first->first));
      continue;
    }
    auto function = std::move(first->second);
    this->waiting.erase(first);
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace quetzalvale
