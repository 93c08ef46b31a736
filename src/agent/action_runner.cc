#include "agent/action_runner.h"

#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "runtime/log.h"
#include "settings/service_document.h"

namespace quetzalvale {
namespace {

const char* RefusalText(StartRefusal refusal) {
  switch (refusal) {
    case StartRefusal::kNone:
      return "none";
    case StartRefusal::kBusy:
      return "busy";
    case StartRefusal::kLeaving:
      return "leaving";
    case StartRefusal::kSealed:
      return "sealed";
    case StartRefusal::kExpired:
      return "expired";
    case StartRefusal::kWrongIncarnation:
      return "wrong_incarnation";
    case StartRefusal::kEndpointDown:
      return "endpoint_down";
    case StartRefusal::kEvacuated:
      return "evacuated";
  }
  return "none";
}

LogLevel LevelOf(int number) {
  // Events that call for an operator's attention; see docs/events.md.
  switch (number) {
    case 2011:
    case 2012:
    case 2017:
    case 2020:
    case 2021:
    case 2023:
    case 2024:
    case 2033:
      return LogLevel::kWarning;
    case 2018:
    case 2019:
      return LogLevel::kDebug;
    default:
      return LogLevel::kInfo;
  }
}

}  // namespace

ActionRunner::ActionRunner(Parts parts) : parts(std::move(parts)) {}

void ActionRunner::Run(const AgentAction& action) {
  std::visit([this](const auto& concrete) { this->On(concrete); }, action);
}

void ActionRunner::On(const ReplyStart& action) {
  if (action.reply.repeated) {
    this->parts.metrics.Add("starts_repeated_total");
  }
  for (const StartRefusal refusal : action.reply.decisions) {
    if (refusal != StartRefusal::kNone) {
      this->parts.metrics.Add("starts_refused_total", 1, {{"reason", RefusalText(refusal)}});
    }
  }
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(const ReplyWithdraw& action) {
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(const ReplySeal& action) {
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(const StartOnEndpoint& action) {
  this->parts.metrics.Add("starts_total");
  this->parts.endpoint.Start(action);
}

void ActionRunner::On(const StopOnEndpoint& action) { this->parts.endpoint.Stop(action.task); }

void ActionRunner::On(const RenewLeases& action) {
  this->parts.metrics.Add("lease_renewals_total");
  this->parts.endpoint.Renew(action.tasks, action.lease);
}

void ActionRunner::On(const PauseLeases& action) {
  this->parts.endpoint.PauseLeases(action.paused);
}

void ActionRunner::On(const CheckEndpoint& /*action*/) { this->parts.endpoint.Check(); }

void ActionRunner::On(const PollUsage& /*action*/) { this->parts.endpoint.PollUsage(); }

void ActionRunner::On(const SendOutcomes& action) {
  std::vector<TaskKey> tasks;
  tasks.reserve(action.message.outcomes.size());
  for (const auto& outcome : action.message.outcomes) {
    tasks.push_back(outcome.task);
  }
  this->parts.senders.SendMessage<OutcomesReply>(
      action.address, "outcomes", action.message,
      [this, owner = action.message.owner, tasks = std::move(tasks),
       sent = action.sent](Result<OutcomesReply> reply) {
        this->parts.thread.PostResult(OutcomesReplied{owner, tasks, std::move(reply), sent});
      });
}

void ActionRunner::On(const SendAnnounce& action) {
  this->parts.metrics.Add("heartbeats_total");
  this->parts.senders.SendMessage<AnnounceReply>(
      action.address, "announce", action.message,
      [this, address = action.address, sent = action.sent](Result<AnnounceReply> reply) {
        this->parts.thread.PostResult(AnnounceReplied{address, std::move(reply), sent});
      });
}

void ActionRunner::On(const SendHeartbeat& action) {
  this->parts.metrics.Add("heartbeats_total");
  this->parts.senders.SendMessage<AnnounceReply>(
      action.address, "heartbeat", action.message,
      [this, address = action.address, sent = action.sent](Result<AnnounceReply> reply) {
        this->parts.thread.PostResult(AnnounceReplied{address, std::move(reply), sent});
      });
}

void ActionRunner::On(const ReplyNotice& action) {
  this->parts.inner.Reply(action.request, action.reply);
}

void ActionRunner::On(const FetchConfiguration& action) {
  Json::Value parameters;
  parameters["service"] = this->parts.service;
  this->parts.senders.Send(action.address, "configuration", parameters,
                           [this, address = action.address](const Result<Json::Value>& reply) {
                             if (IsOk(reply)) {
                               this->TakeConfiguration(address, std::get<Json::Value>(reply));
                             }
                           });
}

void ActionRunner::TakeConfiguration(const std::string& address, const Json::Value& reply) {
  if (!reply.isObject() || !reply["version"].isUInt64() || !reply["document"].isObject()) {
    return;
  }
  auto decoded = DecodeServiceDocument(reply["document"], "configuration from " + address);
  if (!IsOk(decoded)) {
    Log(LogLevel::kWarning, 2005, "configuration_invalid", GetError(decoded).message);
    return;
  }
  auto configuration =
      std::make_shared<ServiceConfiguration>(std::get<ServiceConfiguration>(std::move(decoded)));
  configuration->version = reply["version"].asUInt64();
  this->parts.thread.PostResult(AgentConfigurationChanged{std::move(configuration)});
}

void ActionRunner::On(const LogEvent& action) {
  Log(LevelOf(action.number), action.number, action.name, action.details);
}

void ActionRunner::On(const Departed& /*action*/) { this->parts.departed(); }

}  // namespace quetzalvale
