/// Asynchronous HTTP client of one server on Boost.Beast.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
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

  /// `done` runs on the loop's thread, once. The timeout counts from this call. Of the headers of a
  /// response, `done` gets those that HTTP does not define, by lower-case name. Returns the number
  /// of the call.
  std::uint64_t Send(OutgoingRequest request, std::chrono::milliseconds timeout, Done done);

  /// Gives a call up: it gets no result any more, and its connection is closed, so that the peer
  /// notices. No effect on a call that has ended.
  void Cancel(std::uint64_t call);

  /// Sends and waits. Not for use on the loop's thread.
  HttpResult SendAndWait(OutgoingRequest request, std::chrono::milliseconds timeout);

 private:
  struct State;
  /// Set when the session has a thread of its own.
  std::unique_ptr<HttpLoop> own_loop;
  std::shared_ptr<State> state;
  std::atomic<std::uint64_t> last_call{0};
};

}  // namespace quetzalvale
