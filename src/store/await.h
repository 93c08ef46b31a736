/// Waits for the result of an asynchronous call.
#pragma once

#include <future>
#include <utility>

namespace quetzalvale {

/// Calls `start` with a callback and returns what the callback receives.
template <typename Outcome, typename Start>
Outcome Await(const Start& start) {
  std::promise<Outcome> promise;
  auto future = promise.get_future();
  start([&promise](Outcome outcome) { promise.set_value(std::move(outcome)); });
  return future.get();
}

}  // namespace quetzalvale
