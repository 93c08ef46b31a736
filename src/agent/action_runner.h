/// Carries out what the agent's decision logic decides.
#pragma once

#include <functional>
#include <string>

#include "agent/agent_thread.h"
#include "agent/endpoint.h"
#include "agent/inner_api.h"
#include "core/agent/agent_events.h"
#include "protocol/peer_senders.h"
#include "runtime/metrics.h"

namespace quetzalvale {

/// Runs on the core thread and does not block; results come back to the thread as events.
class ActionRunner {
 public:
  struct Parts {
    std::string service;
    AgentThread& thread;
    Endpoint& endpoint;
    InnerApi& inner;
    PeerSenders& senders;
    Metrics& metrics;
    /// Called once, when the agent may exit.
    std::function<void()> departed;
  };

  explicit ActionRunner(Parts parts);

  void Run(const AgentAction& action);

 private:
  void On(const ReplyStart& action);
  void On(const ReplyWithdraw& action);
  void On(const ReplySeal& action);
  void On(const StartOnEndpoint& action);
  void On(const StopOnEndpoint& action);
  void On(const RenewLeases& action);
  void On(const PauseLeases& action);
  void On(const CheckEndpoint& action);
  void On(const PollUsage& action);
  void On(const SendOutcomes& action);
  void On(const SendAnnounce& action);
  void On(const SendHeartbeat& action);
  void On(const ReplyNotice& action);
  void On(const FetchConfiguration& action);
  void On(const LogEvent& action);
  void On(const Departed& action);

  void TakeConfiguration(const std::string& address, const Json::Value& reply);

  Parts parts;
};

}  // namespace quetzalvale
