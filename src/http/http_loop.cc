#include "http/http_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

#include "runtime/guard.h"

namespace quetzalvale {

namespace asio = boost::asio;

struct HttpLoop::State {
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{this->context.get_executor()};
  std::thread thread;
};

void RunContext(asio::io_context& context, std::string_view name) {
  // A handler that throws ends run(); the handlers behind it are still to be run.
  while (!RunGuarded(name, [&context] { context.run(); })) {
  }
}

HttpLoop::HttpLoop() : state(std::make_unique<State>()) {
  this->state->thread =
      std::thread([state = this->state.get()] { RunContext(state->context, "http_loop"); });
}

HttpLoop::~HttpLoop() { this->Stop(); }

void HttpLoop::Stop() {
  this->state->context.stop();
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

boost::asio::io_context& HttpLoop::Context() { return this->state->context; }

}  // namespace quetzalvale
