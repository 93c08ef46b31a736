/// Inner calls that a process's decision thread replies to.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "protocol/codec.h"
#include "protocol/rpc_server.h"

namespace quetzalvale {

/// Posts each call as an event to the decision thread, and keeps its responder until the reply is
/// there. A caller whose patience ends gives up by itself; a late reply is dropped. Thread-safe.
template <typename Event>
class InnerCalls {
 public:
  /// Returns false when the thread is overloaded and does not handle the event.
  using Post = std::function<bool(Event)>;

  /// `ids` numbers the requests of the process and must outlive the object.
  InnerCalls(std::atomic<std::uint64_t>& ids, Post post) : ids(ids), post(std::move(post)) {}

  /// Registers a call. `make` turns its number and its message, decoded as `Message`, into an
  /// event.
  template <typename Message, typename Make>
  void Register(RpcServer& server, const std::string& method, Make make) {
    server.RegisterAsync(
        method, [this, make](const Json::Value& parameters, RpcServer::Responder respond) {
          auto message = Decode<Message>(parameters);
          const std::uint64_t id = this->Open(std::move(respond));
          if (!this->post(make(id, std::move(message)))) {
            this->Complete(
                id, Error{ErrorKind::kOverloaded, "the process is overloaded; call again later"});
          }
        });
  }

  /// Gives the reply to the call. Returns false when there is no such call.
  bool Complete(std::uint64_t id, Result<Json::Value> reply) {
    std::unique_lock lock(this->mutex);
    auto node = this->open.extract(id);
    lock.unlock();
    if (node.empty()) {
      return false;
    }
    node.mapped()(std::move(reply));
    return true;
  }

 private:
  std::uint64_t Open(RpcServer::Responder respond) {
    const std::uint64_t id = ++this->ids;
    const std::lock_guard lock(this->mutex);
    this->open[id] = std::move(respond);
    return id;
  }

  std::atomic<std::uint64_t>& ids;
  Post post;
  std::mutex mutex;
  std::map<std::uint64_t, RpcServer::Responder> open;
};

}  // namespace quetzalvale
