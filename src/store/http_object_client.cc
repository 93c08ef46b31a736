#include "store/http_object_client.h"

#include <utility>

#include "store/platform_reply.h"

namespace quetzalvale {

HttpObjectClient::HttpObjectClient(const std::string& url, std::chrono::milliseconds timeout)
    : client(url, timeout) {}

void HttpObjectClient::PutAsync(std::string_view name, std::string bytes,
                                std::function<void(PutResult)> done) {
  OutgoingRequest request;
  request.method = "PUT";
  request.target = "/v1/objects/" + EncodeSegment(name);
  request.body = std::move(bytes);
  request.once = true;
  this->client.Send(std::move(request), [done = std::move(done)](const HttpResult& result) {
    if (auto failure = FailureOf(result)) {
      done(*std::move(failure));
      return;
    }
    done(std::monostate());
  });
}

void HttpObjectClient::GetAsync(std::string_view name, std::function<void(GetResult)> done) {
  OutgoingRequest request;
  request.target = "/v1/objects/" + EncodeSegment(name);
  this->client.Send(std::move(request), [done = std::move(done)](const HttpResult& result) {
    if (IsNotFound(result)) {
      done(std::optional<std::string>());
      return;
    }
    if (auto failure = FailureOf(result)) {
      done(*std::move(failure));
      return;
    }
    done(std::optional(std::get<HttpResponse>(result).body));
  });
}

}  // namespace quetzalvale
