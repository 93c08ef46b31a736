#include "load/request_sender.h"

#include <map>
#include <mutex>
#include <utility>

#include "http/http_client.h"

namespace quetzalvale {
namespace {

LoadReply ToReply(HttpResult result) {
  if (auto* response = std::get_if<HttpResponse>(&result)) {
    return {response->status, std::move(response->body)};
  }
  return {0, std::get<HttpFailure>(result).message};
}

}  // namespace

struct RequestSender::State {
  explicit State(std::chrono::milliseconds timeout) : timeout(timeout) {}

  std::shared_ptr<HttpClient> Client(const std::string& address) {
    const std::lock_guard lock(this->mutex);
    auto& client = this->clients[address];
    if (!client) {
      client = std::make_shared<HttpClient>("http://" + address, this->timeout);
    }
    return client;
  }

  const std::chrono::milliseconds timeout;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<HttpClient>> clients;
};

RequestSender::RequestSender(std::chrono::milliseconds timeout)
    : state(std::make_unique<State>(timeout)) {}

RequestSender::~RequestSender() = default;

void RequestSender::Send(const LoadRequest& request, std::function<void(LoadReply)> done) {
  OutgoingRequest outgoing;
  outgoing.method = request.method;
  outgoing.target = request.target;
  outgoing.body = request.body;
  this->state->Client(request.address)
      ->Send(std::move(outgoing),
             [done = std::move(done)](HttpResult result) { done(ToReply(std::move(result))); });
}

}  // namespace quetzalvale
