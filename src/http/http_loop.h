/// The thread on which asynchronous HTTP clients run.
#pragma once

#include <memory>

namespace boost::asio {
class io_context;
}

namespace quetzalvale {

/// One thread for the connections of any number of HttpSessions, so that a process with many peers
/// needs no thread for each. The sessions must be destroyed before it or not be used after it.
class HttpLoop {
 public:
  HttpLoop();
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /// Ends the thread. What is under way on it is dropped without a result. May be called twice.
  void Stop();

  /// For HttpSession. Thread-safe.
  boost::asio::io_context& Context();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace quetzalvale
