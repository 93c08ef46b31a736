#include "agent/inner_api.h"

#include <utility>

namespace quetzalvale {

InnerApi::InnerApi(AgentThread& thread, std::function<void()> drain)
    : drain(std::move(drain)), calls(this->ids, [&thread](AgentEvent event) {
        return thread.PostRequest(std::move(event));
      }) {}

void InnerApi::RegisterWith(RpcServer& server) {
  this->calls.Register<StartRequest>(server, "start", [](RequestId id, StartRequest message) {
    return StartReceived{id, std::move(message)};
  });
  this->calls.Register<WithdrawRequest>(server, "withdraw",
                                        [](RequestId id, WithdrawRequest message) {
                                          return WithdrawReceived{id, std::move(message)};
                                        });
  this->calls.Register<WithdrawRequest>(server, "stop_tasks",
                                        [](RequestId id, WithdrawRequest message) {
                                          message.stop_running = true;
                                          return WithdrawReceived{id, std::move(message)};
                                        });
  this->calls.Register<SealRequest>(server, "seal", [](RequestId id, SealRequest message) {
    return SealReceived{id, std::move(message)};
  });
  this->calls.Register<AnnounceReply>(server, "notice", [](RequestId id, AnnounceReply message) {
    return NoticeReceived{id, std::move(message)};
  });
  server.Register("drain", [this](const Json::Value& /*parameters*/) {
    this->drain();
    Json::Value accepted;
    accepted["accepted"] = true;
    return accepted;
  });
}

}  // namespace quetzalvale
