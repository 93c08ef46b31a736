/// Client side of the calls between the system's own processes.
// Compiled as C++14 as well, because libjsonrpccpp's headers are not valid C++17.
#pragma once

#include <json/value.h>

#include <memory>
#include <string>

namespace quetzalvale {

/// How a call ended.
enum class RpcOutcome {
  kOk,
  /// No connection was made: the peer does not have the message.
  kUnreachable,
  /// The peer may or may not have the message.
  kUnknown,
  /// The peer answered with an error.
  kRefused
};

struct RpcReply {
  RpcOutcome outcome = RpcOutcome::kUnknown;
  Json::Value result;
  /// Set unless outcome is kOk.
  std::string message;
};

/// One kept-alive connection to one peer (libjsonrpccpp over HTTP). Not thread-safe: one thread
/// per client.
class RpcClient {
 public:
  /// `address` is `IPv4:port`.
  RpcClient(const std::string& address, const std::string& shared_key);
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /// Calls the method and waits for its reply, at most `timeout_ms`.
  RpcReply Call(const std::string& method, const Json::Value& parameters, int timeout_ms);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace quetzalvale
