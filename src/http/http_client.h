/// Asynchronous HTTP client of one server.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "http/http_messages.h"

namespace quetzalvale {

struct OutgoingRequest {
  std::string method = "GET";
  /// Path and query, percent-encoded.
  std::string target;
  std::string body{};
  std::string authorization{};
  /// Use a connection of its own. cpprestsdk silently sends a request again when a pooled
  /// connection turns out to be closed, so what must be sent at most once needs this. On a
  /// connection that was kept alive, a request may be lost without an answer.
  bool once = false;
  /// Further headers.
  std::map<std::string, std::string> headers{};
};

/// Why there is no response.
struct HttpFailure {
  /// No connection was made: the peer does not have the request.
  bool not_sent = false;
  std::string message;
  /// The time was over; the connection had not broken before. Only HttpSession tells.
  bool timed_out = false;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// Sends requests to one server. A server named by its IPv4 address without TLS is called through
/// HttpSession, within the limits of connections; cpprestsdk's client calls the others, and reads
/// answers of any size. Thread-safe.
class HttpClient {
 public:
  /// `url` is scheme, address and port. Throws std::exception when it is malformed.
  HttpClient(const std::string& url, std::chrono::milliseconds timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// `done` runs on a thread of the HTTP library, at most once: not if the client is destroyed
  /// before there is a result.
  void Send(OutgoingRequest request, std::function<void(HttpResult)> done);

  /// Sends and waits. Not for use on the library's threads.
  HttpResult SendAndWait(OutgoingRequest request);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace quetzalvale
