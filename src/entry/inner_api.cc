#include "entry/inner_api.h"

#include <stdexcept>
#include <utility>

namespace quetzalvale {

InnerApi::InnerApi(CoreThread& core, const ConfigurationBook& book, std::atomic<std::uint64_t>& ids)
    : book(book),
      calls(ids, [&core](EntryEvent event) { return core.PostRequest(std::move(event)); }) {}

void InnerApi::RegisterWith(RpcServer& server) {
  this->calls.Register<Announce>(server, "announce", [](RequestId id, Announce message) {
    return AgentAnnounced{id, std::move(message)};
  });
  this->calls.Register<Heartbeat>(server, "heartbeat", [](RequestId id, Heartbeat message) {
    return HeartbeatReceived{id, message};
  });
  this->calls.Register<OutcomesRequest>(server, "outcomes",
                                        [](RequestId id, OutcomesRequest message) {
                                          return OutcomesReceived{id, std::move(message)};
                                        });
  this->calls.Register<Hello>(server, "hello", [](RequestId id, Hello message) {
    return HelloReceived{id, std::move(message)};
  });
  this->calls.Register<ForwardRequest>(server, "forward", [](RequestId id, ForwardRequest message) {
    return ForwardReceived{id, std::move(message)};
  });
  this->calls.Register<AnswerRequest>(server, "answer", [](RequestId id, AnswerRequest message) {
    return AnswerReceived{id, std::move(message)};
  });
  this->calls.Register<HandOver>(server, "hand_over", [](RequestId id, HandOver message) {
    return HandOverReceived{id, std::move(message)};
  });
  this->calls.Register<CancelRequest>(server, "cancel", [](RequestId id, CancelRequest message) {
    return JobCancelled{id, message.ticket};
  });
  this->calls.Register<CancelledJobs>(server, "cancelled_jobs",
                                      [](RequestId id, CancelledJobs message) {
                                        return CancellationsReceived{id, std::move(message)};
                                      });
  server.Register("configuration", [this](const Json::Value& parameters) {
    return this->ServeConfiguration(parameters);
  });
}

Json::Value InnerApi::ServeConfiguration(const Json::Value& parameters) const {
  if (!parameters.isObject() || !parameters["service"].isString()) {
    throw std::invalid_argument("service must be a string");
  }
  const auto stored = this->book.Document(parameters["service"].asString());
  Json::Value json;
  json["version"] = static_cast<Json::UInt64>(stored ? stored->version : 0);
  json["document"] = stored ? stored->document : Json::Value();
  return json;
}

}  // namespace quetzalvale
