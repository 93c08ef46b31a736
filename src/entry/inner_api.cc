#include "entry/inner_api.h"

#include <stdexcept>
#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

/// The decision logic answers at once unless its ring is long.
constexpr std::chrono::milliseconds kReplyTimeout{2000};

}  // namespace

InnerApi::InnerApi(CoreThread& core, const ConfigurationBook& book, std::atomic<std::uint64_t>& ids)
    : core(core), book(book), ids(ids) {}

template <typename Make>
Json::Value InnerApi::Call(const Make& make) {
  auto [id, future] = this->pending.Open(this->ids);
  if (!this->core.PostRequest(make(id))) {
    this->pending.Abandon(id);
    throw std::runtime_error("the entry is overloaded; call again later");
  }
  auto reply = this->pending.Wait(id, std::move(future), kReplyTimeout);
  if (!reply) {
    throw std::runtime_error("the entry did not reply in time; call again later");
  }
  return *std::move(reply);
}

void InnerApi::RegisterWith(RpcServer& server) {
  server.Register("announce", [this](const Json::Value& parameters) {
    auto message = Decode<Announce>(parameters);
    return this->Call([&](RequestId id) { return AgentAnnounced{id, std::move(message)}; });
  });
  server.Register("heartbeat", [this](const Json::Value& parameters) {
    const auto message = Decode<Heartbeat>(parameters);
    return this->Call([&](RequestId id) { return HeartbeatReceived{id, message}; });
  });
  server.Register("outcomes", [this](const Json::Value& parameters) {
    auto message = Decode<OutcomesRequest>(parameters);
    return this->Call([&](RequestId id) { return OutcomesReceived{id, std::move(message)}; });
  });
  server.Register("hello", [this](const Json::Value& parameters) {
    auto message = Decode<Hello>(parameters);
    return this->Call([&](RequestId id) { return HelloReceived{id, std::move(message)}; });
  });
  server.Register("forward", [this](const Json::Value& parameters) {
    auto message = Decode<ForwardRequest>(parameters);
    return this->Call([&](RequestId id) { return ForwardReceived{id, std::move(message)}; });
  });
  server.Register("answer", [this](const Json::Value& parameters) {
    auto message = Decode<AnswerRequest>(parameters);
    return this->Call([&](RequestId id) { return AnswerReceived{id, std::move(message)}; });
  });
  server.Register("hand_over", [this](const Json::Value& parameters) {
    auto message = Decode<HandOver>(parameters);
    return this->Call([&](RequestId id) { return HandOverReceived{id, std::move(message)}; });
  });
  server.Register("cancel", [this](const Json::Value& parameters) {
    const auto message = Decode<CancelRequest>(parameters);
    return this->Call([&](RequestId id) { return JobCancelled{id, message.ticket}; });
  });
  server.Register("configuration", [this](const Json::Value& parameters) {
    return this->ServeConfiguration(parameters);
  });
}

bool InnerApi::Reply(RequestId id, Json::Value reply) {
  return this->pending.Complete(id, std::move(reply));
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
