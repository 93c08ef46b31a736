#include "protocol/rpc_client.h"

#include <json/reader.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <jsonrpccpp/common/errors.h>

#include "protocol/json_nesting.h"

namespace quetzalvale {

namespace {

/// The library's JSON parser throws beyond 1,000 levels, inside functions whose exception
/// specification turns that into the end of the process. No message of ours is as deep as this.
constexpr int kMaxNesting = 900;

/// Refuses replies that the library cannot parse.
class BoundedHttpClient : public jsonrpc::HttpClient {
 public:
  using jsonrpc::HttpClient::HttpClient;

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    jsonrpc::HttpClient::SendRPCMessage(message, result);
    if (JsonNesting(result.data(), result.size()) > kMaxNesting) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE,
                                      "the reply is nested too deeply");
    }
  }
};

}  // namespace

struct RpcClient::State {
  State(const std::string& address, const std::string& key)
      : connector("http://" + address), client(connector, jsonrpc::JSONRPC_CLIENT_V2) {
    this->connector.AddHeader("X-Quetzalvale-Key", key);
    // Without this curl waits for a "100 Continue" before it sends bodies over 1 KiB.
    this->connector.AddHeader("Expect", "");
  }

  BoundedHttpClient connector;
  jsonrpc::Client client;
};

RpcClient::RpcClient(const std::string& address, const std::string& shared_key)
    : state(new State(address, shared_key)) {}

RpcClient::~RpcClient() = default;

RpcReply RpcClient::Call(const std::string& method, const Json::Value& parameters, int timeout_ms) {
  RpcReply reply;
  try {
    this->state->connector.SetTimeout(timeout_ms);
    reply.result = this->state->client.CallMethod(method, parameters);
    reply.outcome = RpcOutcome::kOk;
  } catch (const jsonrpc::JsonRpcException& error) {
    reply.message = error.what();
    const bool in_transport = error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR ||
                              error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
                              error.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    reply.outcome = in_transport ? RpcOutcome::kUnknown : RpcOutcome::kRefused;
  }
  return reply;
}

}  // namespace quetzalvale
