/// The thread on which asynchronous HTTP clients run.
#pragma once

#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace quetzalvale {

/// Runs the context's handlers until it is stopped or has no more work. An exception that leaves a
/// handler is reported with `name`, and ends that handler only.
void RunContext(boost::asio::io_context& context, std::string_view name);

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
