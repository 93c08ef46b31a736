/// Asynchronous HTTP server on Boost.Beast.
// Not on cpprestsdk, which does not tell when a peer closes its connection before it has the
// response.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/connection_table.h"
#include "http/http_messages.h"

namespace quetzalvale {

/// Sets the number of threads that serve all HttpClients of the process. Call once, before the
/// first of them; the library's default of 40 wastes memory.
void InitHttpThreads(int threads);

/// Listens on one address with one thread, on which the handler is called. A request that exceeds
/// the limits of the table, or whose body exceeds its own, is refused (400, 408, 413, 431, 503) and
/// does not reach the handler. Thread-safe but for SetAbandoned,
/// Start and Stop.
class HttpServer {
 public:
  /// Told when the peer has closed its connection before it got the response to this exchange. The
  /// response may still be given and is dropped.
  using Abandoned = std::function<void(std::uint64_t exchange)>;

  /// `address` is `IPv4:port`. `max_body_bytes` is asked for each request.
  HttpServer(const std::string& address, std::function<std::size_t()> max_body_bytes,
             HttpHandler handler,
             std::shared_ptr<ConnectionTable> table = ConnectionTable::OfProcess());
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Precondition: not started.
  void SetAbandoned(Abandoned abandoned);

  /// Returns an empty text, or the reason why the address cannot be listened on.
  std::string Start();

  /// Marks all responses from now on as the last of their connection.
  void CloseConnections();

  /// Waits until every request received has its response sent, then closes the address. Gives up
  /// waiting after `patience`. May be called twice.
  void Stop(std::chrono::milliseconds patience);

  /// Requests received whose response is not yet sent.
  std::size_t InFlight() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace quetzalvale
