#include "load/request_sender.h"

#include <cpprest/http_client.h>

#include <map>
#include <mutex>
#include <utility>

namespace quetzalvale {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

struct RequestSender::State {
  http_client_config config;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<http_client>> clients;

  std::shared_ptr<http_client> Client(const std::string& address) {
    const std::lock_guard lock(this->mutex);
    auto& client = this->clients[address];
    if (!client) client = std::make_shared<http_client>("http://" + address, this->config);
    return client;
  }
};

namespace {

LoadReply ReadReply(const pplx::task<std::pair<int, std::string>>& task) {
  try {
    auto [status, body] = task.get();
    return {status, std::move(body)};
  } catch (const std::exception& error) {
    return {0, error.what()};
  }
}

}  // namespace

RequestSender::RequestSender(std::chrono::milliseconds timeout) : state(std::make_unique<State>()) {
  this->state->config.set_timeout(timeout);
}

RequestSender::~RequestSender() = default;

void RequestSender::Send(const LoadRequest& request, std::function<void(LoadReply)> done) {
  http_request message(request.method);
  message.set_request_uri(web::uri(request.target));
  if (!request.body.empty()) {
    message.set_body(request.body, "application/json");
  }
  this->state->Client(request.address)
      ->request(message)
      .then([](const http_response& response) {
        const int status = response.status_code();
        return response.extract_utf8string(true).then(
            [status](const std::string& body) { return std::pair(status, body); });
      })
      .then([done = std::move(done)](const pplx::task<std::pair<int, std::string>>& task) {
        done(ReadReply(task));
      });
}

}  // namespace quetzalvale
