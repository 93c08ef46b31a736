#include "protocol/rpc_client.h"

#include <future>
#include <optional>
#include <utility>

#include "protocol/rpc_message.h"

namespace quetzalvale {
namespace {

constexpr int kOk = 200;

/// What the result tells when it holds no reply of the called method.
template <typename Value>
std::optional<RpcReplyOf<Value>> FailureOf(const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    const RpcOutcome outcome = failure->not_sent ? RpcOutcome::kUnreachable : RpcOutcome::kUnknown;
    return RpcReplyOf<Value>{outcome, {}, failure->message};
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.status != kOk) {
    // The peer refused the whole request, as with a wrong key.
    return RpcReplyOf<Value>{RpcOutcome::kRefused,
                             {},
                             "status " + std::to_string(response.status) + ", " + response.body};
  }
  return std::nullopt;
}

RpcReply ToReply(const HttpResult& result) {
  if (auto failure = FailureOf<Json::Value>(result)) {
    return std::move(*failure);
  }
  auto read = ReadRpcReply(std::get<HttpResponse>(result).body);
  if (IsOk(read)) {
    return {RpcOutcome::kOk, std::get<Json::Value>(std::move(read)), ""};
  }
  const bool refused = GetError(read).kind == ErrorKind::kMalformed;
  return {refused ? RpcOutcome::kRefused : RpcOutcome::kUnknown, {}, GetError(read).message};
}

PackedReply ToPackedReply(HttpResult result) {
  if (auto failure = FailureOf<PackedMessage>(result)) {
    return std::move(*failure);
  }
  return {RpcOutcome::kOk, {std::move(std::get<HttpResponse>(result).body)}, ""};
}

}  // namespace

RpcClient::RpcClient(const std::string& address, std::string shared_key)
    : shared_key(std::move(shared_key)), session(address, 1) {}

RpcClient::RpcClient(HttpLoop& loop, const std::string& address, std::string shared_key)
    : shared_key(std::move(shared_key)), session(loop, address, 1) {}

void RpcClient::Send(const std::string& method, Json::Value parameters,
                     std::chrono::milliseconds timeout, Done done) {
  OutgoingRequest request = this->MakeRequest(WriteRpcCall(method, std::move(parameters)));
  request.target = "/";
  this->session.Send(std::move(request), timeout,
                     [done = std::move(done)](const HttpResult& result) { done(ToReply(result)); });
}

void RpcClient::SendPacked(const std::string& method, PackedMessage message,
                           std::chrono::milliseconds timeout, PackedDone done) {
  OutgoingRequest request = this->MakeRequest(std::move(message.bytes));
  request.target = std::string("/") + kPackedCallsPath + "/" + method;
  request.headers["Content-Type"] = kPackedContentType;
  this->session.Send(std::move(request), timeout, [done = std::move(done)](HttpResult result) {
    done(ToPackedReply(std::move(result)));
  });
}

OutgoingRequest RpcClient::MakeRequest(std::string body) const {
  OutgoingRequest request;
  request.method = "POST";
  request.body = std::move(body);
  request.headers[kRpcKeyHeader] = this->shared_key;
  return request;
}

RpcReply RpcClient::Call(const std::string& method, const Json::Value& parameters, int timeout_ms) {
  auto promise = std::make_shared<std::promise<RpcReply>>();
  auto future = promise->get_future();
  this->Send(method, parameters, std::chrono::milliseconds(timeout_ms),
             [promise](RpcReply reply) { promise->set_value(std::move(reply)); });
  return future.get();
}

}  // namespace quetzalvale
