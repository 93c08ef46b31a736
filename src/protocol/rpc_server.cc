#include "protocol/rpc_server.h"

#include <openssl/crypto.h>

#include <chrono>
#include <exception>
#include <stdexcept>
#include <utility>

#include "protocol/codec.h"
#include "protocol/rpc_message.h"

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxBodyBytes = 64U << 20U;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kMethodNotAllowed = 405;

HttpResponse Refusal(int status, const std::string& message) {
  Json::Value error;
  error["error"] = message;
  return {status, WriteJson(error)};
}

/// Comparison whose duration does not depend on where the texts differ.
bool IsSameKey(const std::string& expected, const std::string& given) {
  return expected.size() == given.size() &&
         CRYPTO_memcmp(expected.data(), given.data(), expected.size()) == 0;
}

}  // namespace

RpcServer::RpcServer(std::string address, std::string shared_key)
    : shared_key(std::move(shared_key)),
      http(
          address, [] { return kMaxBodyBytes; },
          [this](const HttpRequest& request, const HttpResponder& respond) {
            this->Handle(request, respond);
          }) {}

RpcServer::~RpcServer() { this->Stop(); }

void RpcServer::Register(const std::string& method, Handler handler) {
  this->handlers[method] = [handler = std::move(handler)](const RpcParameters& parameters,
                                                          const RpcResponder& responder) {
    responder.ReplyJson(handler(parameters.Json()));
  };
}

void RpcServer::RegisterMessage(const std::string& method, MessageHandler handler) {
  this->handlers[method] = std::move(handler);
}

bool RpcServer::Start() { return this->http.Start().empty(); }

void RpcServer::Stop() { this->http.Stop(std::chrono::milliseconds(0)); }

void RpcServer::Handle(const HttpRequest& request, const HttpResponder& respond) const {
  if (!IsSameKey(this->shared_key, request.Header(kRpcKeyHeader))) {
    respond(Refusal(kForbidden,
                    "shared key missing or wrong; set shared_key in the settings of both processes "
                    "to the same value"));
  } else if (request.method != "POST") {
    respond(Refusal(kMethodNotAllowed, "use POST"));
  } else if (request.Header("content-type") == kPackedContentType) {
    this->AnswerPacked(request, respond);
  } else {
    this->AnswerJson(request, respond);
  }
}

void RpcServer::AnswerJson(const HttpRequest& request, const HttpResponder& respond) const {
  const auto read = ReadRpcCall(request.body);
  if (!IsOk(read)) {
    respond(Refusal(kBadRequest, GetError(read).message));
    return;
  }
  const auto& call = std::get<RpcCall>(read);
  const auto give = [respond, id = call.id](Result<RpcValue> result) {
    if (!IsOk(result)) {
      respond({kOk, WriteRpcReply(id, GetError(result))});
      return;
    }
    respond({kOk, WriteRpcReply(id, std::get<Json::Value>(std::get<RpcValue>(std::move(result))))});
  };
  this->Run(call.method, RpcParameters::OfJson(call.parameters), RpcResponder(false, give));
}

void RpcServer::AnswerPacked(const HttpRequest& request, const HttpResponder& respond) const {
  const auto give = [respond](Result<RpcValue> result) {
    if (!IsOk(result)) {
      const Error& error = GetError(result);
      respond(Refusal(HttpStatus(error.kind), error.message));
      return;
    }
    auto& packed = std::get<PackedMessage>(std::get<RpcValue>(result));
    respond({kOk, std::move(packed.bytes), kPackedContentType});
  };
  const bool names_method = request.path.size() == 2 && request.path.front() == kPackedCallsPath;
  this->Run(names_method ? request.path.back() : "", RpcParameters::OfPacked(request.body),
            RpcResponder(true, give));
}

void RpcServer::Run(const std::string& method, const RpcParameters& parameters,
                    const RpcResponder& responder) const {
  const auto handler = this->handlers.find(method);
  if (handler == this->handlers.end()) {
    responder.Refuse({ErrorKind::kMalformed,
                      "no call is named " + method + "; use the same version on both sides"});
    return;
  }
  try {
    handler->second(parameters, responder);
  } catch (const std::invalid_argument& malformed) {
    responder.Refuse({ErrorKind::kMalformed, malformed.what()});
  } catch (const std::exception& failure) {
    responder.Refuse({ErrorKind::kInternal, failure.what()});
  }
}

}  // namespace quetzalvale
