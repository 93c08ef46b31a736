#include "ctl/entry_client.h"

#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {

EntryClient::EntryClient(std::vector<std::string> entries, std::string token,
                         std::chrono::milliseconds timeout, Transport transport)
    : entries(std::move(entries)),
      token(std::move(token)),
      timeout(timeout),
      transport(std::move(transport)) {}

Result<EntryReply> EntryClient::CallAny(const std::string& method, const std::string& path,
                                        const Json::Value& body) {
  Result<EntryReply> result = Error{ErrorKind::kUnreachable, "no entry given; use --entry=ADDRESS"};
  for (const std::string& entry : this->entries) {
    result = this->CallOne(entry, method, path, body);
    if (IsOk(result)) {
      return result;
    }
  }
  return result;
}

Result<EntryReply> EntryClient::CallOne(const std::string& entry, const std::string& method,
                                        const std::string& path, const Json::Value& body) {
  CallRequest request;
  request.address = entry;
  request.method = method;
  request.path = path;
  request.timeout = this->timeout;
  if (!body.isNull()) {
    request.body = WriteJson(body);
  }
  if (!this->token.empty()) {
    request.headers["Authorization"] = "Bearer " + this->token;
  }
  const CallResult result = this->transport(request);
  if (!IsOk(result)) {
    return GetError(result);
  }
  const CallReply& reply = std::get<CallReply>(result);
  auto json = ReadJson(reply.body);
  return EntryReply{reply.status, IsOk(json) ? std::get<Json::Value>(json) : Json::Value()};
}

std::string RefusalMessage(const EntryReply& reply) {
  if (reply.status == 401 || reply.status == 403) {
    return "the entry does not accept the token; pass an administrator's token with --token-file "
           "or QUETZALVALE_TOKEN";
  }
  const bool has_message = reply.body.isObject() && reply.body["message"].isString();
  const std::string message = has_message ? reply.body["message"].asString()
                                          : std::string("no reason given; see the entry's log");
  return "the entry answered " + std::to_string(reply.status) + ": " + message;
}

}  // namespace quetzalvale
