/// JSON-RPC 2.0 messages of the calls between the system's own processes.
#pragma once

#include <json/value.h>

#include <string>
#include <string_view>

#include "core/result.h"

namespace quetzalvale {

/// Header that carries the shared key of the system's processes, as HttpRequest::Header wants it.
inline constexpr const char* kRpcKeyHeader = "x-quetzalvale-key";

/// Marks a packed call, which is sent to `/calls/METHOD`, and its packed reply.
inline constexpr const char* kPackedContentType = "application/msgpack";
inline constexpr const char* kPackedCallsPath = "calls";

/// Returns the text of a call.
std::string WriteRpcCall(const std::string& method, Json::Value parameters);

/// A call as it was received.
struct RpcCall {
  /// Given back in the reply; null when the caller gave none.
  Json::Value id;
  std::string method;
  Json::Value parameters;
};

/// Reads a call. The error, of kind kMalformed, says what is wrong with the text. Batches are not
/// read: nobody sends them.
Result<RpcCall> ReadRpcCall(std::string_view text);

/// Returns the text of the reply to the call with this id.
std::string WriteRpcReply(const Json::Value& id, Result<Json::Value> result);

/// Reads a reply: its result or, with kind kMalformed, the error that the peer named. kTimeout
/// means that the text is no reply, so that the fate of the call is not known.
Result<Json::Value> ReadRpcReply(std::string_view text);

}  // namespace quetzalvale
