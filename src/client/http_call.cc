#include "client/http_call.h"

#include <cpprest/http_client.h>

#include <exception>
#include <memory>
#include <system_error>
#include <utility>

namespace quetzalvale {
namespace {

namespace web_http = web::http;

std::string ToUrl(const std::string& address) {
  return address.starts_with("http://") ? address : "http://" + address;
}

web_http::http_request ToWebRequest(const CallRequest& request) {
  web_http::http_request web_request(request.method);
  web_request.set_request_uri(web::uri(request.path));
  for (const auto& [name, value] : request.headers) {
    web_request.headers().add(name, value);
  }
  web_request.headers().add("Connection", "close");
  if (!request.body.empty()) {
    web_request.set_body(request.body, "application/json");
  }
  return web_request;
}

Error ToError(const CallRequest& request, const std::exception_ptr& failure) {
  const std::string call = request.method + " " + request.address + request.path;
  try {
    std::rethrow_exception(failure);
  } catch (const web_http::http_exception& error) {
    // cpprestsdk reports every failure to connect as host_unreachable.
    if (error.error_code() == std::errc::host_unreachable) {
      return {ErrorKind::kUnreachable,
              call + ": no connection; check the address and that the process runs"};
    }
    return {ErrorKind::kTimeout, call + ": " + error.what() + "; it may have taken effect"};
  } catch (const std::exception& error) {
    return {ErrorKind::kUnreachable, call + ": " + error.what() + "; check the address"};
  }
}

pplx::task<CallReply> SendRequest(const CallRequest& request) {
  web_http::client::http_client_config config;
  config.set_timeout(request.timeout);
  auto client =
      std::make_shared<web_http::client::http_client>(web::uri(ToUrl(request.address)), config);
  return client->request(ToWebRequest(request))
      .then([client](const web_http::http_response& response) {
        const int status = response.status_code();
        return response.extract_utf8string(true).then([client, status](const std::string& body) {
          return CallReply{status, body};
        });
      });
}

}  // namespace

CallResult CallHttp(const CallRequest& request) {
  try {
    return SendRequest(request).get();
  } catch (...) {
    return ToError(request, std::current_exception());
  }
}

void StartHttpCall(const CallRequest& request, std::function<void(CallResult)> done) {
  pplx::task<CallReply> sent;
  try {
    sent = SendRequest(request);
  } catch (...) {
    done(ToError(request, std::current_exception()));
    return;
  }
  sent.then([request, done = std::move(done)](const pplx::task<CallReply>& finished) {
    CallResult result;
    try {
      result = finished.get();
    } catch (...) {
      result = ToError(request, std::current_exception());
    }
    done(std::move(result));
  });
}

}  // namespace quetzalvale
