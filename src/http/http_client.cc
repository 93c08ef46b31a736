#include "http/http_client.h"

#include <cpprest/http_client.h>

#include <boost/asio/ip/address.hpp>
#include <future>
#include <optional>
#include <string_view>
#include <utility>

#include "http/http_loop.h"
#include "http/http_session.h"

namespace quetzalvale {
namespace {

/// The limits of the process's own connections apply before this one.
constexpr std::size_t kMaxConnections = 65536;

/// The thread of all clients. Never destroyed, because results may arrive until the process ends.
HttpLoop& SharedLoop() {
  static auto* const loop = new HttpLoop();
  return *loop;
}

/// Returns `IPv4:port` if the URL names an address without TLS.
std::optional<std::string> PlainAddress(const web::uri& url) {
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(url.host(), error);
  if (error || url.scheme() != "http") {
    return std::nullopt;
  }
  constexpr int kDefaultPort = 80;
  return url.host() + ":" + std::to_string(url.port() > 0 ? url.port() : kDefaultPort);
}

web::http::client::http_client_config Configuration(std::chrono::milliseconds timeout) {
  web::http::client::http_client_config configuration;
  configuration.set_timeout(timeout);
  return configuration;
}

web::http::http_request Build(OutgoingRequest request) {
  web::http::http_request message(request.method);
  message.set_request_uri(web::uri(request.target));
  if (!request.body.empty()) {
    message.set_body(std::move(request.body), "application/json");
  }
  if (!request.authorization.empty()) {
    message.headers().add("Authorization", request.authorization);
  }
  for (const auto& [name, value] : request.headers) {
    message.headers().add(name, value);
  }
  if (request.once) {
    message.headers().add("Connection", "close");
  }
  return message;
}

/// Whether no connection was made. The library reports a refused connection as host_unreachable,
/// but an established connection may end with that code as well, so the message decides.
bool IsNotSent(const web::http::http_exception& failure) {
  const std::error_code& code = failure.error_code();
  const bool is_unreachable = code == std::errc::host_unreachable ||
                              code == std::errc::connection_refused ||
                              code == std::errc::network_unreachable;
  return is_unreachable &&
         std::string_view(failure.what()).find("Failed to connect") != std::string_view::npos;
}

HttpFailure CurrentFailure() {
  try {
    throw;
  } catch (const web::http::http_exception& failure) {
    return {IsNotSent(failure), failure.what()};
  } catch (const web::uri_exception& malformed) {
    return {true, malformed.what()};
  } catch (const std::exception& failure) {
    return {false, failure.what()};
  }
}

}  // namespace

struct HttpClient::State {
  State(const web::uri& url, std::chrono::milliseconds timeout) : timeout(timeout) {
    if (const auto address = PlainAddress(url)) {
      this->session = std::make_unique<HttpSession>(SharedLoop(), *address, kMaxConnections);
      this->base_path = url.path() == "/" ? "" : url.path();
    } else {
      this->client.emplace(url, Configuration(timeout));
    }
  }

  void SendByLibrary(OutgoingRequest request, std::function<void(HttpResult)> done);

  std::chrono::milliseconds timeout;
  /// Of a server that is named by its address; bounded by the limits of connections.
  std::unique_ptr<HttpSession> session;
  std::string base_path;
  /// For TLS and names.
  std::optional<web::http::client::http_client> client;
};

HttpClient::HttpClient(const std::string& url, std::chrono::milliseconds timeout)
    : state(std::make_unique<State>(web::uri(url), timeout)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(OutgoingRequest request, std::function<void(HttpResult)> done) {
  if (!this->state->session) {
    this->state->SendByLibrary(std::move(request), std::move(done));
    return;
  }
  request.target = this->state->base_path + request.target;
  this->state->session->Send(std::move(request), this->state->timeout, std::move(done));
}

void HttpClient::State::SendByLibrary(OutgoingRequest request,
                                      std::function<void(HttpResult)> done) {
  pplx::task<web::http::http_response> sending;
  try {
    sending = this->client->request(Build(std::move(request)));
  } catch (const std::exception&) {
    done(CurrentFailure());
    return;
  }
  sending
      .then([](const web::http::http_response& response) {
        const int status = response.status_code();
        return response.extract_vector().then([status](const std::vector<unsigned char>& body) {
          return HttpResponse{status, std::string(body.begin(), body.end())};
        });
      })
      .then([done = std::move(done)](const pplx::task<HttpResponse>& received) {
        HttpResult result;
        try {
          result = received.get();
        } catch (const std::exception&) {
          result = CurrentFailure();
        }
        done(std::move(result));
      });
}

HttpResult HttpClient::SendAndWait(OutgoingRequest request) {
  std::promise<HttpResult> promise;
  auto future = promise.get_future();
  this->Send(std::move(request),
             [&promise](HttpResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

}  // namespace quetzalvale
