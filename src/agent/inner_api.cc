#include "agent/inner_api.h"

#include <stdexcept>
#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

/// The decision logic replies at once unless its ring is long. The entry settles a start without a
/// reply by withdrawing it.
constexpr std::chrono::milliseconds kReplyTimeout{2000};

}  // namespace

InnerApi::InnerApi(AgentThread& thread, std::function<void()> drain)
    : thread(thread), drain(std::move(drain)) {}

template <typename Make>
Json::Value InnerApi::Call(const Make& make) {
  auto [id, future] = this->pending.Open(this->ids);
  if (!this->thread.PostRequest(make(id))) {
    this->pending.Abandon(id);
    throw std::runtime_error("the agent is overloaded; call again later");
  }
  auto reply = this->pending.Wait(id, std::move(future), kReplyTimeout);
  if (!reply) {
    throw std::runtime_error("the agent did not reply in time; withdraw the tasks");
  }
  return *std::move(reply);
}

void InnerApi::RegisterWith(RpcServer& server) {
  server.Register("start", [this](const Json::Value& parameters) {
    auto message = Decode<StartRequest>(parameters);
    return this->Call([&](RequestId id) { return StartReceived{id, std::move(message)}; });
  });
  server.Register("withdraw", [this](const Json::Value& parameters) {
    auto message = Decode<WithdrawRequest>(parameters);
    return this->Call([&](RequestId id) { return WithdrawReceived{id, std::move(message)}; });
  });
  server.Register("stop_tasks", [this](const Json::Value& parameters) {
    auto message = Decode<WithdrawRequest>(parameters);
    message.stop_running = true;
    return this->Call([&](RequestId id) { return WithdrawReceived{id, std::move(message)}; });
  });
  server.Register("seal", [this](const Json::Value& parameters) {
    auto message = Decode<SealRequest>(parameters);
    return this->Call([&](RequestId id) { return SealReceived{id, std::move(message)}; });
  });
  server.Register("notice", [this](const Json::Value& parameters) {
    auto message = Decode<AnnounceReply>(parameters);
    return this->Call([&](RequestId id) { return NoticeReceived{id, std::move(message)}; });
  });
  server.Register("drain", [this](const Json::Value& /*parameters*/) {
    this->drain();
    Json::Value accepted;
    accepted["accepted"] = true;
    return accepted;
  });
}

void InnerApi::Reply(RequestId id, Json::Value reply) {
  this->pending.Complete(id, std::move(reply));
}

}  // namespace quetzalvale
