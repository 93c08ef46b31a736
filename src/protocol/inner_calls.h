/// Inner calls that a process's decision thread replies to.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

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
    server.RegisterMessage(method, [this, make](const RpcParameters& parameters,
                                                RpcResponder responder) {
      auto message = parameters.Read<Message>();
      const std::uint64_t id = this->Open(std::move(responder));
      if (this->post(make(id, std::move(message)))) {
        return;
      }
      if (const auto waiting = this->Take(id)) {
        waiting->Refuse({ErrorKind::kOverloaded, "the process is overloaded; call again later"});
      }
    });
  }

  /// Gives the reply to the call. Returns false when there is no such call.
  template <typename Reply>
  bool Complete(std::uint64_t id, const Reply& reply) {
    const auto waiting = this->Take(id);
    if (waiting) {
      waiting->Reply(reply);
    }
    return waiting.has_value();
  }

 private:
  std::uint64_t Open(RpcResponder responder) {
    const std::uint64_t id = ++this->ids;
    const std::lock_guard lock(this->mutex);
    this->open[id] = std::move(responder);
    return id;
  }

  std::optional<RpcResponder> Take(std::uint64_t id) {
    const std::lock_guard lock(this->mutex);
    auto node = this->open.extract(id);
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
  }

  std::atomic<std::uint64_t>& ids;
  Post post;
  std::mutex mutex;
  std::map<std::uint64_t, RpcResponder> open;
};

}  // namespace quetzalvale
