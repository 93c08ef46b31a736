#include "protocol/rpc_server.h"

#include <arpa/inet.h>
#include <json/writer.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <microhttpd.h>

#include <cstdlib>
#include <cstring>
#include <map>
#include <stdexcept>
#include <utility>

namespace quetzalvale {
namespace {

constexpr const char* kKeyHeader = "X-Quetzalvale-Key";
constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr unsigned int kIdleTimeoutSeconds = 120;

/// One HTTP request while its body arrives, and the place for its response.
struct Exchange {
  std::string body;
  std::string response;
};

int SendText(MHD_Connection* connection, unsigned int status, const std::string& text) {
  MHD_Response* response = MHD_create_response_from_buffer(
      text.size(), const_cast<char*>(text.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  const int queued = MHD_queue_response(connection, status, response);
  MHD_destroy_response(response);
  return queued;
}

/// Comparison whose duration does not depend on where the texts differ.
bool SameKey(const std::string& expected, const char* given) {
  if (given == nullptr || std::strlen(given) != expected.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    difference |= static_cast<unsigned char>(expected[i]) ^ static_cast<unsigned char>(given[i]);
  }
  return difference == 0;
}

/// Connector that binds one IP address and checks the shared key. libjsonrpccpp's own HttpServer
/// binds all addresses or loopback only and does not show headers.
class KeyedConnector : public jsonrpc::AbstractServerConnector {
 public:
  KeyedConnector(std::string address, std::string key, int threads)
      : address(std::move(address)), key(std::move(key)), threads(threads) {}
  ~KeyedConnector() override { this->StopListening(); }

  bool StartListening() override {
    sockaddr_in bound{};
    if (!this->ParseAddress(&bound)) {
      return false;
    }
    this->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD, 0, nullptr, nullptr, &KeyedConnector::OnAccess, this,
        MHD_OPTION_SOCK_ADDR, &bound, MHD_OPTION_THREAD_POOL_SIZE,
        static_cast<unsigned int>(this->threads), MHD_OPTION_CONNECTION_TIMEOUT,
        kIdleTimeoutSeconds, MHD_OPTION_NOTIFY_COMPLETED, &KeyedConnector::OnCompleted, this,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    return this->daemon != nullptr;
  }

  bool StopListening() override {
    if (this->daemon != nullptr) {
      MHD_stop_daemon(this->daemon);
      this->daemon = nullptr;
    }
    return true;
  }

  bool SendResponse(const std::string& response, void* add_info) override {
    static_cast<Exchange*>(add_info)->response = response;
    return true;
  }

 private:
  bool ParseAddress(sockaddr_in* bound) const {
    const std::size_t colon = this->address.rfind(':');
    if (colon == std::string::npos) {
      return false;
    }
    bound->sin_family = AF_INET;
    bound->sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(this->address.c_str() + colon + 1)));
    return inet_pton(AF_INET, this->address.substr(0, colon).c_str(), &bound->sin_addr) == 1;
  }

  static MHD_Result OnAccess(void* self, MHD_Connection* connection, const char* /*url*/,
                             const char* method, const char* /*version*/, const char* data,
                             std::size_t* size, void** context) {
    auto* connector = static_cast<KeyedConnector*>(self);
    if (*context == nullptr) {
      *context = new Exchange;
      return MHD_YES;
    }
    auto* exchange = static_cast<Exchange*>(*context);
    if (*size != 0) {
      if (exchange->body.size() + *size > kMaxBodyBytes) {
        return MHD_NO;
      }
      exchange->body.append(data, *size);
      *size = 0;
      return MHD_YES;
    }
    return static_cast<MHD_Result>(connector->Answer(connection, method, exchange));
  }

  int Answer(MHD_Connection* connection, const char* method, Exchange* exchange) {
    const char* given = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, kKeyHeader);
    if (!SameKey(this->key, given)) {
      return SendText(connection, MHD_HTTP_FORBIDDEN,
                      "{\"error\":\"shared key missing or wrong; set shared_key in the settings "
                      "of both processes to the same value\"}");
    }
    if (std::strcmp(method, "POST") != 0) {
      return SendText(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "{\"error\":\"use POST\"}");
    }
    try {
      this->OnRequest(exchange->body, exchange);
    } catch (const std::exception& malformed) {
      // The library's JSON parser throws on deep nesting. Outside this thread's callback nothing
      // catches it.
      Json::Value error;
      error["error"] = std::string("not a JSON-RPC request: ") + malformed.what();
      return SendText(connection, MHD_HTTP_BAD_REQUEST,
                      Json::writeString(Json::StreamWriterBuilder(), error));
    }
    return SendText(connection, MHD_HTTP_OK, exchange->response);
  }

  static void OnCompleted(void* /*self*/, MHD_Connection* /*connection*/, void** context,
                          MHD_RequestTerminationCode /*code*/) {
    delete static_cast<Exchange*>(*context);
    *context = nullptr;
  }

  std::string address;
  std::string key;
  int threads;
  MHD_Daemon* daemon = nullptr;
};

}  // namespace

struct RpcServer::State : public jsonrpc::IProcedureInvokationHandler {
  State(std::string address, std::string key, int threads)
      : connector(std::move(address), std::move(key), threads),
        protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                       *this)) {
    this->connector.SetHandler(this->protocol.get());
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    try {
      output = this->handlers.at(procedure.GetProcedureName())(input);
    } catch (const std::invalid_argument& malformed) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, malformed.what());
    } catch (const std::exception& failure) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, failure.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override {
    Json::Value ignored;
    this->HandleMethodCall(procedure, input, ignored);
  }

  KeyedConnector connector;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  std::map<std::string, Handler> handlers;
};

RpcServer::RpcServer(std::string address, std::string shared_key, int threads)
    : state(new State(std::move(address), std::move(shared_key), threads)) {}

RpcServer::~RpcServer() { this->Stop(); }

void RpcServer::Register(const std::string& method, Handler handler) {
  this->state->handlers[method] = std::move(handler);
  this->state->protocol->AddProcedure(
      jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

bool RpcServer::Start() { return this->state->connector.StartListening(); }

void RpcServer::Stop() { this->state->connector.StopListening(); }

}  // namespace quetzalvale
