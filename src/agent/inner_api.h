/// The calls that an agent serves to entries.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include "agent/agent_thread.h"
#include "protocol/rpc_server.h"
#include "runtime/pending_calls.h"

namespace quetzalvale {

/// Each call waits for the decision thread, and for nothing else. Thread-safe.
class InnerApi {
 public:
  /// `drain` begins the graceful departure. `thread` must outlive the object.
  InnerApi(AgentThread& thread, std::function<void()> drain);

  /// Precondition: the server is not started.
  void RegisterWith(RpcServer& server);

  /// Gives the reply to a call that waits.
  void Reply(RequestId id, Json::Value reply);

 private:
  template <typename Make>
  Json::Value Call(const Make& make);

  AgentThread& thread;
  std::function<void()> drain;
  std::atomic<std::uint64_t> ids{0};
  PendingCalls<Json::Value> pending;
};

}  // namespace quetzalvale
