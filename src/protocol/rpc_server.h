/// Server side of the calls between the system's own processes.
#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/result.h"
#include "http/http_server.h"
#include "protocol/rpc_exchange.h"

namespace quetzalvale {

/// Serves inner calls over HTTP on one IP address, with one thread. The system's processes call
/// `POST /calls/METHOD` with a packed message; JSON-RPC 2.0 is served beside it, for calls made by
/// hand. A call without the shared key in the header X-Quetzalvale-Key is refused with status 403.
class RpcServer {
 public:
  /// Turns the parameters into the result. Throws std::invalid_argument for malformed parameters,
  /// which the caller sees as a JSON-RPC error. Runs on the server's thread; must not block.
  using Handler = std::function<Json::Value(const Json::Value&)>;

  /// As Handler, for messages in either encoding and replies that may be given later.
  using MessageHandler = std::function<void(const RpcParameters&, RpcResponder)>;

  /// `address` is `IPv4:port`. Does not listen yet.
  RpcServer(std::string address, std::string shared_key);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// Registers a call whose parameters are no message, served in JSON only. Precondition: not
  /// started.
  void Register(const std::string& method, Handler handler);
  /// Registers a call whose parameters are a message. Precondition: not started.
  void RegisterMessage(const std::string& method, MessageHandler handler);

  /// Returns false when the address cannot be bound.
  bool Start();

  /// Breaks off calls in progress and closes the address. May be called twice.
  void Stop();

 private:
  void Handle(const HttpRequest& request, const HttpResponder& respond) const;
  /// Runs the handler of the JSON-RPC call in the request's body.
  void AnswerJson(const HttpRequest& request, const HttpResponder& respond) const;
  /// Runs the handler of the call that the request's path names.
  void AnswerPacked(const HttpRequest& request, const HttpResponder& respond) const;
  void Run(const std::string& method, const RpcParameters& parameters,
           const RpcResponder& responder) const;

  std::string shared_key;
  std::map<std::string, MessageHandler> handlers;
  HttpServer http;
};

}  // namespace quetzalvale
