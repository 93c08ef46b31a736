/// What runs an agent's tasks.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/agent/agent_events.h"

namespace quetzalvale {

/// Takes orders without blocking; results come back as events. Thread-safe.
class Endpoint {
 public:
  /// Receives EndpointFinished, EndpointRefused, EndpointChecked and UsageReported on any thread.
  using Report = std::function<void(AgentEvent)>;

  virtual ~Endpoint() = default;

  virtual void Start(const StartOnEndpoint& start) = 0;
  virtual void Stop(const TaskKey& task) = 0;
  virtual void Renew(const std::vector<TaskKey>& tasks, Milliseconds lease) = 0;
  /// Extends the leases of runs no further while `paused`. Only endpoints with one lease for all
  /// runs need it.
  virtual void PauseLeases(bool paused) = 0;
  virtual void Check() = 0;
  /// Asks what the endpoint's tasks use. No answer says nothing about whether the endpoint is up.
  virtual void PollUsage() = 0;
};

/// Makes the endpoint of an agent that is being set up.
using MakeEndpoint = std::function<std::unique_ptr<Endpoint>(Endpoint::Report)>;

}  // namespace quetzalvale
