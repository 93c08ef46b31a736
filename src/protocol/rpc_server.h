/// Server side of the calls between the system's own processes.
// Compiled as C++14 as well, because libjsonrpccpp's headers are not valid C++17.
#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace quetzalvale {

/// Serves JSON-RPC 2.0 over HTTP on one IP address (libjsonrpccpp on libmicrohttpd). A call without
/// the shared key in the header X-Quetzalvale-Key is refused with status 403.
class RpcServer {
 public:
  /// Turns the parameters into the result. Throws std::invalid_argument for malformed parameters,
  /// which the caller sees as a JSON-RPC error. Runs on a server thread; must not block for long.
  using Handler = std::function<Json::Value(const Json::Value&)>;

  /// `address` is `IPv4:port`. Does not listen yet.
  RpcServer(std::string address, std::string shared_key, int threads);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// Precondition: not started.
  void Register(const std::string& method, Handler handler);

  /// Returns false when the address cannot be bound.
  bool Start();

  /// Ends calls in progress and closes the address. May be called twice.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace quetzalvale
