/// One running agent: the decision logic with its connections.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "agent/action_runner.h"
#include "agent/agent_thread.h"
#include "agent/endpoint.h"
#include "agent/inner_api.h"
#include "core/agent/agent_core.h"
#include "http/http_server.h"
#include "protocol/peer_senders.h"
#include "protocol/rpc_server.h"
#include "runtime/clock.h"
#include "runtime/metrics.h"
#include "settings/process_settings.h"

namespace quetzalvale {

class AgentProcess {
 public:
  /// `leave_requested` is called when an entry drains the agent; it has to lead to Leave().
  /// `guards` are replaced by tests only.
  AgentProcess(ProcessSettings settings, std::function<void()> leave_requested,
               AgentGuards guards = {});
  /// For endpoints that are not reached by EndpointClient.
  AgentProcess(ProcessSettings settings, std::function<void()> leave_requested, AgentGuards guards,
               const MakeEndpoint& make_endpoint);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  /// Returns an empty text, or why the agent cannot start.
  std::string Start();

  /// Sets the inner addresses of the registered entries. The agent announces itself to them for as
  /// long as they are registered. Thread-safe.
  void SetListedEntries(std::vector<std::string> addresses);

  /// Departs gracefully: returns when tasks are finished and outcomes delivered.
  void Leave();

 private:
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  std::string MetricsText();
  std::string StartMetricsListener();
  void Stop();

  ProcessSettings settings;
  std::function<void()> leave_requested;
  SystemClock clock;
  Metrics metrics;
  AgentIdentity identity;
  AgentCore core;
  std::promise<void> departed;
  PeerSenders senders;
  std::unique_ptr<ActionRunner> runner;
  AgentThread thread;
  InnerApi inner;
  RpcServer rpc;
  std::unique_ptr<Endpoint> endpoint;
  std::unique_ptr<HttpServer> http;
};

}  // namespace quetzalvale
