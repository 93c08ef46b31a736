#include "protocol/rpc_client.h"

#include <future>
#include <utility>

#include "protocol/rpc_message.h"

namespace quetzalvale {
namespace {

constexpr int kOk = 200;

/// The peer's refusal of the whole request, such as that of a wrong key.
RpcReply Refused(const HttpResponse& response) {
  return {
      RpcOutcome::kRefused, {}, "status " + std::to_string(response.status) + ", " + response.body};
}

RpcReply ToReply(const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    const RpcOutcome outcome = failure->not_sent ? RpcOutcome::kUnreachable : RpcOutcome::kUnknown;
    return {outcome, {}, failure->message};
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.status != kOk) {
    return Refused(response);
  }
  auto read = ReadRpcReply(response.body);
  if (IsOk(read)) {
    return {RpcOutcome::kOk, std::get<Json::Value>(std::move(read)), ""};
  }
  const bool refused = GetError(read).kind == ErrorKind::kMalformed;
  return {refused ? RpcOutcome::kRefused : RpcOutcome::kUnknown, {}, GetError(read).message};
}

}  // namespace

RpcClient::RpcClient(const std::string& address, std::string shared_key)
    : shared_key(std::move(shared_key)), session(address, 1) {}

RpcClient::RpcClient(HttpLoop& loop, const std::string& address, std::string shared_key)
    : shared_key(std::move(shared_key)), session(loop, address, 1) {}

void RpcClient::Send(const std::string& method, Json::Value parameters,
                     std::chrono::milliseconds timeout, Done done) {
  OutgoingRequest request;
  request.method = "POST";
  request.target = "/";
  request.body = WriteRpcCall(method, std::move(parameters));
  request.headers[kRpcKeyHeader] = this->shared_key;
  this->session.Send(std::move(request), timeout,
                     [done = std::move(done)](const HttpResult& result) { done(ToReply(result)); });
}

RpcReply RpcClient::Call(const std::string& method, const Json::Value& parameters, int timeout_ms) {
  auto promise = std::make_shared<std::promise<RpcReply>>();
  auto future = promise->get_future();
  this->Send(method, parameters, std::chrono::milliseconds(timeout_ms),
             [promise](RpcReply reply) { promise->set_value(std::move(reply)); });
  return future.get();
}

}  // namespace quetzalvale
