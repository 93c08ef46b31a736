/// Asynchronous HTTP client of one server on Boost.Beast.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "http/http_client.h"

namespace quetzalvale {

/// Sends requests over a few kept-alive connections of its own, with one thread. Unlike HttpClient
/// it never sends a request a second time, and it costs a fraction of the processor time of
/// cpprestsdk's client. Requests beyond the connections wait in order. Thread-safe.
class HttpSession {
 public:
  using Done = std::function<void(HttpResult)>;

  /// `address` is `IPv4:port`. Throws std::exception when it is malformed.
  HttpSession(const std::string& address, std::size_t max_connections);
  /// Requests that have no result yet get none.
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  /// `done` runs on the session's thread, once. The timeout counts from this call.
  void Send(OutgoingRequest request, std::chrono::milliseconds timeout, Done done);

  /// Sends and waits. Not for use on the session's thread.
  HttpResult SendAndWait(OutgoingRequest request, std::chrono::milliseconds timeout);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace quetzalvale
