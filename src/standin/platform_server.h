/// The platform stand-in: table service and object store over HTTP.
#pragma once

#include <memory>
#include <string>

#include "http/http_server.h"
#include "standin/platform_delay.h"
#include "standin/platform_faults.h"
#include "standin/platform_store.h"

namespace quetzalvale {

/// Serves the interface described in section 9 of the design. Writes take effect at the end of
/// their latency, so that a client may give up on a write that is applied later.
class PlatformServer {
 public:
  /// `address` is `IPv4:port`.
  explicit PlatformServer(const std::string& address);

  /// Returns an empty text, or the reason why the address cannot be listened on.
  std::string Start() { return this->server.Start(); }

  /// Ends requests in flight without further latency, then closes the address.
  void Stop();

  PlatformFaults& Faults() { return this->faults; }
  PlatformStore& Store() { return this->store; }

 private:
  void Handle(HttpRequest request, const HttpResponder& respond);
  void HandleControl(const HttpRequest& request, const HttpResponder& respond);
  /// Answers a read or write after its treatment; `effect` gives the response.
  void Serve(const Treatment& treatment, const HttpResponder& respond,
             std::function<HttpResponse()> effect);
  HttpResponse Commit(const Json::Value& body);
  HttpResponse ReadRow(const std::string& table, const std::string& key) const;
  HttpResponse Scan(const HttpRequest& request) const;
  HttpResponse ReadObject(const std::string& name) const;

  PlatformStore store;
  PlatformFaults faults;
  DelayQueue delays;
  HttpServer server;
};

}  // namespace quetzalvale
