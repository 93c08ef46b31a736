/// HTTP requests and responses independent of the HTTP library.
// Keeps cpprestsdk's headers, which are slow to compile, out of all but two translation units.
#pragma once

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
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Tells the peer not to reuse the connection.
  bool close = false;
  /// Breaks the connection off before the body, as a failing server does. For test stand-ins.
  bool broken_off = false;
};

/// Sends the response to one request. Called once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request without blocking; the responder may be called later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Percent-encodes everything but unreserved characters, for one path segment or query value.
std::string EncodeSegment(std::string_view text);

}  // namespace quetzalvale
