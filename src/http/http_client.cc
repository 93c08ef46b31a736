#include "http/http_client.h"

#include <cpprest/http_client.h>

#include <future>
#include <utility>

namespace quetzalvale {
namespace {

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

/// The library reports a refused connection as host_unreachable.
bool IsNotSent(const std::error_code& code) {
  return code == std::errc::host_unreachable || code == std::errc::connection_refused ||
         code == std::errc::network_unreachable;
}

HttpFailure CurrentFailure() {
  try {
    throw;
  } catch (const web::http::http_exception& failure) {
    return {IsNotSent(failure.error_code()), failure.what()};
  } catch (const web::uri_exception& malformed) {
    return {true, malformed.what()};
  } catch (const std::exception& failure) {
    return {false, failure.what()};
  }
}

}  // namespace

struct HttpClient::State {
  web::http::client::http_client client;
};

HttpClient::HttpClient(const std::string& url, std::chrono::milliseconds timeout)
    : state(new State{web::http::client::http_client(web::uri(url), Configuration(timeout))}) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(OutgoingRequest request, std::function<void(HttpResult)> done) {
  pplx::task<web::http::http_response> sending;
  try {
    sending = this->state->client.request(Build(std::move(request)));
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
