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
  this->RegisterAsync(method, [handler = std::move(handler)](const Json::Value& parameters,
                                                             const Responder& respond) {
    respond(handler(parameters));
  });
}

void RpcServer::RegisterAsync(const std::string& method, AsyncHandler handler) {
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
  } else {
    this->Answer(request, respond);
  }
}

void RpcServer::Answer(const HttpRequest& request, const HttpResponder& respond) const {
  const auto read = ReadRpcCall(request.body);
  if (!IsOk(read)) {
    respond(Refusal(kBadRequest, GetError(read).message));
    return;
  }
  const auto& call = std::get<RpcCall>(read);
  const Responder reply = [respond, id = call.id](Result<Json::Value> result) {
    respond({kOk, WriteRpcReply(id, std::move(result))});
  };
  const auto handler = this->handlers.find(call.method);
  if (handler == this->handlers.end()) {
    reply(Error{ErrorKind::kMalformed,
                "no call is named " + call.method + "; use the same version on both sides"});
    return;
  }
  try {
    handler->second(call.parameters, reply);
  } catch (const std::invalid_argument& malformed) {
    reply(Error{ErrorKind::kMalformed, malformed.what()});
  } catch (const std::exception& failure) {
    reply(Error{ErrorKind::kInternal, failure.what()});
  }
}

}  // namespace quetzalvale
