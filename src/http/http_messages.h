/// HTTP requests and responses independent of the HTTP library.
// Keeps the headers of the HTTP libraries, which are slow to compile, out of all but a few
// translation units.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalvale {

struct HttpRequest {
  std::string method;
  /// Path segments, percent-decoded.
  std::vector<std::string> path;
  /// Query parameters, percent-decoded.
  std::map<std::string, std::string> query;
  /// Value of the Authorization header; empty when there is none.
  std::string authorization;
  std::string body;
  /// Path and query as they were sent.
  std::string target;
  /// Value of the Host header; empty when there is none.
  std::string host;
  /// Further headers, by lower-case name.
  std::map<std::string, std::string> headers;
  /// Number of the exchange, unique within one server.
  std::uint64_t exchange = 0;

  /// Returns the header's value, or an empty text. `name` is in lower case.
  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
  }
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Tells the peer not to reuse the connection.
  bool close = false;
  /// Breaks the connection off before the body, as a failing server does. For test stand-ins.
  bool broken_off = false;
  /// Further headers.
  std::map<std::string, std::string> headers{};
};

/// Sends the response to one request. Called once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request without blocking; the responder may be called later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Percent-encodes everything but unreserved characters, for one path segment or query value.
std::string EncodeSegment(std::string_view text);

}  // namespace quetzalvale
