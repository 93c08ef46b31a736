#include "http/http_call.h"

#include <exception>
#include <future>
#include <memory>
#include <utility>

#include "http/http_client.h"

namespace quetzalvale {
namespace {

std::string ToUrl(const std::string& address) {
  return address.starts_with("http://") ? address : "http://" + address;
}

OutgoingRequest ToOutgoing(const CallRequest& request) {
  OutgoingRequest outgoing;
  outgoing.method = request.method;
  outgoing.target = request.path;
  outgoing.body = request.body;
  outgoing.once = true;
  outgoing.headers = request.headers;
  return outgoing;
}

CallResult ToResult(const std::string& call, HttpResult result) {
  if (auto* response = std::get_if<HttpResponse>(&result)) {
    return CallReply{response->status, std::move(response->body)};
  }
  const auto& failure = std::get<HttpFailure>(result);
  if (failure.not_sent) {
    return Error{ErrorKind::kUnreachable, call + ": no connection (" + failure.message +
                                              "); check the address and that the process runs"};
  }
  return Error{ErrorKind::kTimeout, call + ": " + failure.message + "; it may have taken effect"};
}

}  // namespace

CallResult CallHttp(const CallRequest& request) {
  std::promise<CallResult> promise;
  auto future = promise.get_future();
  StartHttpCall(request, [&promise](CallResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

void StartHttpCall(const CallRequest& request, std::function<void(CallResult)> done) {
  const std::string call = request.method + " " + request.address + request.path;
  std::shared_ptr<HttpClient> client;
  try {
    client = std::make_shared<HttpClient>(ToUrl(request.address), request.timeout);
  } catch (const std::exception& malformed) {
    done(Error{ErrorKind::kUnreachable, call + ": " + malformed.what() + "; check the address"});
    return;
  }
  // The pool of connections belongs to the client, which lives as long as the call.
  client->Send(ToOutgoing(request), [client, call, done = std::move(done)](HttpResult result) {
    done(ToResult(call, std::move(result)));
  });
}

}  // namespace quetzalvale
