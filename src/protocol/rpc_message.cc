#include "protocol/rpc_message.h"

#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

constexpr const char* kVersion = "2.0";

// Error codes of JSON-RPC 2.0.
constexpr int kInvalidParameters = -32602;
constexpr int kInternalError = -32603;

Error NoReply(const std::string& problem) {
  return {ErrorKind::kTimeout, "the reply is not a JSON-RPC reply: " + problem};
}

}  // namespace

std::string WriteRpcCall(const std::string& method, Json::Value parameters) {
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = kVersion;
  // Each connection carries one call at a time, so the number tells nothing.
  call["id"] = 1;
  call["method"] = method;
  call["params"] = std::move(parameters);
  return WriteJson(call);
}

Result<RpcCall> ReadRpcCall(std::string_view text) {
  auto read = ReadJson(text);
  if (!IsOk(read)) {
    return GetError(read);
  }
  auto& json = std::get<Json::Value>(read);
  const bool is_call = json.isObject() && json["jsonrpc"] == kVersion && json["method"].isString();
  if (!is_call) {
    return Error{ErrorKind::kMalformed,
                 "not a JSON-RPC 2.0 call; give jsonrpc, method, params and id"};
  }
  return RpcCall{json["id"], json["method"].asString(), std::move(json["params"])};
}

std::string WriteRpcReply(const Json::Value& id, Result<Json::Value> result) {
  Json::Value reply(Json::objectValue);
  reply["jsonrpc"] = kVersion;
  reply["id"] = id;
  if (IsOk(result)) {
    reply["result"] = std::get<Json::Value>(std::move(result));
  } else {
    const Error& error = GetError(result);
    const bool malformed = error.kind == ErrorKind::kMalformed;
    reply["error"]["code"] = malformed ? kInvalidParameters : kInternalError;
    reply["error"]["message"] = error.message;
  }
  return WriteJson(reply);
}

Result<Json::Value> ReadRpcReply(std::string_view text) {
  auto read = ReadJson(text);
  if (!IsOk(read)) {
    return NoReply(GetError(read).message);
  }
  auto& json = std::get<Json::Value>(read);
  if (!json.isObject()) {
    return NoReply("it is not an object");
  }
  if (json["error"].isObject() && json["error"]["message"].isString()) {
    return Error{ErrorKind::kMalformed, json["error"]["message"].asString()};
  }
  if (!json.isMember("result")) {
    return NoReply("it has no result");
  }
  return std::move(json["result"]);
}

}  // namespace quetzalvale
