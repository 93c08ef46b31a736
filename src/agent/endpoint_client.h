/// HTTP client of the endpoint beside the agent.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "agent/endpoint.h"
#include "http/http_client.h"
#include "runtime/metrics.h"

namespace quetzalvale {

/// Sends tasks and control requests without blocking; results come back as events. Each task has a
/// connection of its own that is never used again, so that it is sent exactly once. Control
/// requests may be repeated safely; they share one kept-alive connection and go one at a time.
/// Thread-safe.
class EndpointClient : public Endpoint {
 public:
  /// Returns the client for one task request. A test can share one client to show the fault that
  /// separate clients prevent.
  using MakeTaskClient = std::function<std::shared_ptr<HttpClient>()>;

  /// At most `connections` tasks are open at a time; more are reported as refused. `metrics` must
  /// outlive the client.
  /// `report` is called on a thread of the HTTP library, or on the calling thread when nothing was
  /// sent.
  EndpointClient(const std::string& url, int connections, Metrics& metrics, Report report);
  EndpointClient(const std::string& url, int connections, Metrics& metrics, Report report,
                 MakeTaskClient make_task_client);
  /// Results that arrive after the destruction are dropped.
  ~EndpointClient() override;
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  void Start(const StartOnEndpoint& start) override;
  void Stop(const TaskKey& task) override;
  void Renew(const std::vector<TaskKey>& tasks, Milliseconds lease) override;
  void Check() override;
  /// Every task has a lease of its own.
  void PauseLeases(bool /*paused*/) override {}
  void PollUsage() override;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace quetzalvale
