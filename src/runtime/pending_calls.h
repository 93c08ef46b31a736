/// Joins a server thread that waits for a reply with the decision thread that gives it.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace quetzalvale {

/// Calls waiting for a reply, by request id. Thread-safe.
template <typename Reply>
class PendingCalls {
 public:
  /// Opens a call whose id is taken from `ids`, the counter of the process.
  std::pair<std::uint64_t, std::future<Reply>> Open(std::atomic<std::uint64_t>& ids) {
    const std::uint64_t id = ++ids;
    const std::lock_guard lock(this->mutex);
    return {id, this->waiting[id].get_future()};
  }

  /// Gives the reply to the call. Returns false when nobody waits for it any more.
  bool Complete(std::uint64_t id, Reply reply) {
    std::optional<std::promise<Reply>> promise = this->Take(id);
    if (!promise) {
      return false;
    }
    promise->set_value(std::move(reply));
    return true;
  }

  /// Forgets the call.
  void Abandon(std::uint64_t id) { this->Take(id); }

  /// Waits for the reply; nothing when the time is over, and the call is forgotten.
  std::optional<Reply> Wait(std::uint64_t id, std::future<Reply> future,
                            std::chrono::milliseconds timeout) {
    if (future.wait_for(timeout) != std::future_status::ready) {
      this->Abandon(id);
      return std::nullopt;
    }
    return future.get();
  }

 private:
  std::optional<std::promise<Reply>> Take(std::uint64_t id) {
    const std::lock_guard lock(this->mutex);
    auto node = this->waiting.extract(id);
    if (node.empty()) {
      return std::nullopt;
    }
    return std::move(node.mapped());
  }

  std::mutex mutex;
  std::map<std::uint64_t, std::promise<Reply>> waiting;
};

}  // namespace quetzalvale
