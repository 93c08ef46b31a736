/// The calls that an agent serves to entries.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include "agent/agent_thread.h"
#include "protocol/inner_calls.h"
#include "protocol/rpc_server.h"

namespace quetzalvale {

/// Posts each call to the decision thread, which gives the reply later. Thread-safe.
class InnerApi {
 public:
  /// `drain` begins the graceful departure. `thread` must outlive the object.
  InnerApi(AgentThread& thread, std::function<void()> drain);

  /// Precondition: the server is not started.
  void RegisterWith(RpcServer& server);

  /// Gives the reply to an open call.
  template <typename Message>
  void Reply(RequestId id, const Message& reply) {
    this->calls.Complete(id, reply);
  }

 private:
  std::function<void()> drain;
  std::atomic<std::uint64_t> ids{0};
  InnerCalls<AgentEvent> calls;
};

}  // namespace quetzalvale
