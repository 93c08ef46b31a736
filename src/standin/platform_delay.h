/// Runs functions later, for the latencies of the platform stand-in.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace quetzalvale {

/// One thread that runs functions when their time has come. Thread-safe.
class DelayQueue {
 public:
  DelayQueue();
  /// Runs what is still waiting at once.
  ~DelayQueue();
  DelayQueue(const DelayQueue&) = delete;
  DelayQueue& operator=(const DelayQueue&) = delete;

  /// Runs what is waiting at once, and from now on everything without delay.
  void Expedite();

  /// Runs the function after the delay; at once, on this thread, when the delay is zero.
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> function);

 private:
  void Run();

  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> waiting;
  bool expedited = false;
  bool stopped = false;
  std::thread thread;
};

}  // namespace quetzalvale
