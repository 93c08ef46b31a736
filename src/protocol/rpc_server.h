/// Server side of the calls between the system's own processes.
#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/result.h"
#include "http/http_server.h"

namespace quetzalvale {

/// Serves JSON-RPC 2.0 over HTTP on one IP address, with one thread. A call without the shared key
/// in the header X-Quetzalvale-Key is refused with status 403.
class RpcServer {
 public:
  /// Turns the parameters into the result. Throws std::invalid_argument for malformed parameters,
  /// which the caller sees as a JSON-RPC error. Runs on the server's thread; must not block.
  using Handler = std::function<Json::Value(const Json::Value&)>;

  /// Gives the reply to one call, once, from any thread.
  using Responder = std::function<void(Result<Json::Value>)>;

  /// As Handler, for replies that are given later.
  using AsyncHandler = std::function<void(const Json::Value&, Responder)>;

  /// `address` is `IPv4:port`. Does not listen yet.
  RpcServer(std::string address, std::string shared_key);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// Precondition: not started.
  void Register(const std::string& method, Handler handler);
  void RegisterAsync(const std::string& method, AsyncHandler handler);

  /// Returns false when the address cannot be bound.
  bool Start();

  /// Breaks off calls in progress and closes the address. May be called twice.
  void Stop();

 private:
  void Handle(const HttpRequest& request, const HttpResponder& respond) const;
  /// Runs the handler of the call in the request's body.
  void Answer(const HttpRequest& request, const HttpResponder& respond) const;

  std::string shared_key;
  std::map<std::string, AsyncHandler> handlers;
  HttpServer http;
};

}  // namespace quetzalvale
