/// Asynchronous HTTP client of one server on Boost.Beast.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "http/http_client.h"

namespace quetzalvale {

class HttpLoop;

/// Sends requests over a few kept-alive connections of its own. Unlike HttpClient it never sends a
/// request a second time, and it costs a fraction of the processor time of cpprestsdk's client.
/// Requests beyond the connections wait in order. Thread-safe.
class HttpSession {
 public:
  using Done = std::function<void(HttpResult)>;

  /// Runs on a thread of its own. `address` is `IPv4:port`. Throws std::exception when it is
  /// malformed.
  HttpSession(const std::string& address, std::size_t max_connections);
  /// As above, on the thread of `loop`.
  HttpSession(HttpLoop& loop, const std::string& address, std::size_t max_connections);
  /// Closes the connections. Requests that have no result yet get none; on a shared loop a result
  /// may still be delivered while this runs.
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  /// `done` runs on the loop's thread, once. The timeout counts from this call.
  void Send(OutgoingRequest request, std::chrono::milliseconds timeout, Done done);

  /// Sends and waits. Not for use on the loop's thread.
  HttpResult SendAndWait(OutgoingRequest request, std::chrono::milliseconds timeout);

 private:
  struct State;
  /// Set when the session has a thread of its own.
  std::unique_ptr<HttpLoop> own_loop;
  std::shared_ptr<State> state;
};

}  // namespace quetzalvale
