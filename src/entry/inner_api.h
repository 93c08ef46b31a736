/// Inner calls that an entry serves.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "entry/configuration_book.h"
#include "entry/core_thread.h"
#include "protocol/rpc_server.h"
#include "runtime/pending_calls.h"

namespace quetzalvale {

/// Posts each inner call to the decision logic and waits, for a bounded time, for the reply.
/// Thread-safe.
class InnerApi {
 public:
  /// All must outlive the interface. `ids` numbers the requests of the process.
  InnerApi(CoreThread& core, const ConfigurationBook& book, std::atomic<std::uint64_t>& ids);

  /// Registers all calls with the server.
  void RegisterWith(RpcServer& server);

  /// Gives the reply to a call. Returns false when nobody waits for it.
  bool Reply(RequestId id, Json::Value reply);

 private:
  template <typename Make>
  Json::Value Call(const Make& make);
  Json::Value ServeConfiguration(const Json::Value& parameters) const;

  CoreThread& core;
  const ConfigurationBook& book;
  std::atomic<std::uint64_t>& ids;
  PendingCalls<Json::Value> pending;
};

}  // namespace quetzalvale
