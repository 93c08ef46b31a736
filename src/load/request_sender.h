/// HTTP calls of the load generator.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace quetzalvale {

struct LoadRequest {
  /// `IPv4:port`.
  std::string address;
  std::string method = "GET";
  /// Path and query, percent-encoded.
  std::string target = "/";
  /// JSON text; empty for none.
  std::string body;
};

struct LoadReply {
  /// HTTP status; zero when the connection broke or the time was over, and `body` says why.
  int status = 0;
  std::string body;
};

/// Sends a request and calls back exactly once, possibly on another thread.
using LoadSendHook = std::function<void(const LoadRequest&, std::function<void(LoadReply)>)>;

/// Sends requests over pooled connections, as callers do. The HTTP library may send a request again
/// when a pooled connection turns out to be closed; a job's ticket makes that harmless.
/// Thread-safe.
class RequestSender {
 public:
  explicit RequestSender(std::chrono::milliseconds timeout);
  ~RequestSender();
  RequestSender(const RequestSender&) = delete;
  RequestSender& operator=(const RequestSender&) = delete;

  /// `done` runs once, on a thread of cpprestsdk's pool.
  void Send(const LoadRequest& request, std::function<void(LoadReply)> done);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace quetzalvale
