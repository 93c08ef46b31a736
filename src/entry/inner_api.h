/// Inner calls that an entry serves.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "entry/configuration_book.h"
#include "entry/core_thread.h"
#include "protocol/inner_calls.h"
#include "protocol/rpc_server.h"

namespace quetzalvale {

/// Posts each inner call to the decision logic, which gives the reply later. Thread-safe.
class InnerApi {
 public:
  /// All must outlive the interface. `ids` numbers the requests of the process.
  InnerApi(CoreThread& core, const ConfigurationBook& book, std::atomic<std::uint64_t>& ids);

  /// Registers all calls with the server.
  void RegisterWith(RpcServer& server);

  /// Gives the reply to a call. Returns false when nobody waits for it.
  template <typename Message>
  bool Reply(RequestId id, const Message& reply) {
    return this->calls.Complete(id, reply);
  }

 private:
  Json::Value ServeConfiguration(const Json::Value& parameters) const;

  const ConfigurationBook& book;
  InnerCalls<EntryEvent> calls;
};

}  // namespace quetzalvale
