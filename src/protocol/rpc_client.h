/// Client side of the calls between the system's own processes.
#pragma once

#include <json/value.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "core/result.h"
#include "http/http_session.h"
#include "protocol/packed_codec.h"

namespace quetzalvale {

class HttpLoop;

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

template <typename Value>
struct RpcReplyOf {
  RpcOutcome outcome = RpcOutcome::kUnknown;
  Value result;
  /// Set unless outcome is kOk.
  std::string message;
};
using RpcReply = RpcReplyOf<Json::Value>;
using PackedReply = RpcReplyOf<PackedMessage>;

/// One kept-alive connection to one peer, for packed calls and JSON-RPC 2.0 over HTTP. Calls are
/// sent one at a time, in order, and never a second time. Thread-safe.
class RpcClient {
 public:
  using Done = std::function<void(RpcReply)>;
  using PackedDone = std::function<void(PackedReply)>;

  /// Runs on a thread of its own. `address` is `IPv4:port`.
  RpcClient(const std::string& address, std::string shared_key);
  /// As above, on the thread of `loop`.
  RpcClient(HttpLoop& loop, const std::string& address, std::string shared_key);

  /// Calls the method. `done` runs on the loop's thread, once.
  void Send(const std::string& method, Json::Value parameters, std::chrono::milliseconds timeout,
            Done done);

  /// As above, with a message in its packed form.
  void SendPacked(const std::string& method, PackedMessage message,
                  std::chrono::milliseconds timeout, PackedDone done);

  /// Calls the method and waits for its reply, at most `timeout_ms`. Not for use on the loop's
  /// thread.
  RpcReply Call(const std::string& method, const Json::Value& parameters, int timeout_ms);

 private:
  /// Without target and content type.
  OutgoingRequest MakeRequest(std::string body) const;

  std::string shared_key;
  HttpSession session;
};

}  // namespace quetzalvale
