#include "agent/agent_process.h"

#include <gtest/gtest.h>

#include "http/http_client.h"
#include "protocol/codec.h"
#include "protocol/rpc_client.h"
#include "runtime/ring.h"
#include "standin/endpoint_server.h"
#include "tests/agent/agent_fixture.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::seconds kPatience{60};
constexpr int kCallMs = 20000;

/// An agent with its endpoint, and an entry that records what it receives.
class AgentProcessTest : public testing::Test {
 protected:
  AgentProcessTest()
      : entry_address(NextLoopbackAddress()),
        agent_address(NextLoopbackAddress()),
        http_address(NextLoopbackAddress()),
        endpoint_address(NextLoopbackAddress()),
        journal(std::chrono::steady_clock::now(), std::chrono::system_clock::now()),
        endpoint(this->endpoint_address, EndpointOptions(), EndpointControl(), this->journal),
        entry(this->entry_address, "key"),
        agent(this->Settings(), [] {}) {
    this->entry.RegisterMessage(
        "announce", [this](const RpcParameters& parameters, const RpcResponder& responder) {
          this->announces.TryPush(parameters.Read<Announce>());
          AnnounceReply reply;
          reply.entry = EntryInfo{kOwnerId, this->entry_address, "dc"};
          reply.configuration_version = 4;
          responder.Reply(reply);
        });
    this->entry.RegisterMessage(
        "outcomes", [this](const RpcParameters& parameters, const RpcResponder& responder) {
          this->outcomes.TryPush(parameters.Read<OutcomesRequest>());
          responder.Reply(OutcomesReply{kOwnerId, 4});
        });
    this->entry.Register("configuration", [](const Json::Value& parameters) {
      Json::Value reply;
      reply["version"] = 4;
      reply["document"]["service"] = parameters["service"];
      reply["document"]["kinds"][0]["name"] = "k";
      reply["document"]["teams"][0]["name"] = "t";
      return reply;
    });
    EXPECT_TRUE(this->entry.Start());
    EXPECT_EQ(this->endpoint.Start(), "");
    EXPECT_EQ(this->agent.Start(), "");
  }

  ProcessSettings Settings() const {
    ProcessSettings settings;
    settings.role = ProcessRole::kAgent;
    settings.name = "a";
    settings.services = {"s"};
    settings.inner_address = this->agent_address;
    settings.advertised_address = this->agent_address;
    settings.caller_address = this->http_address;
    settings.entries = {this->entry_address};
    settings.endpoint = "http://" + this->endpoint_address;
    settings.worker = WorkerCapacity{2, 4, 1, 1, 0};
    settings.shared_key = "key";
    return settings;
  }

  /// Waits for an announcement that fits.
  Announce WaitForAnnounce(const std::function<bool(const Announce&)>& fits) {
    const auto deadline = std::chrono::steady_clock::now() + kPatience;
    while (auto announce = this->announces.PopUntil(deadline)) {
      if (fits(*announce)) {
        return *announce;
      }
    }
    ADD_FAILURE() << "no such announcement in time";
    return Announce();
  }

  RpcReply Start(const Incarnation& incarnation, std::uint64_t sequence, const TaskKey& task,
                 const std::string& payload) {
    StartRequest request = MakeStart(sequence, {task});
    request.agent = incarnation;
    request.owner_address = this->entry_address;
    request.items[0].spec.payload = payload;
    RpcClient client(this->agent_address, "key");
    return client.Call("start", Encode(request), kCallMs);
  }

  /// Sends a notice that names version 4 and returns what the agent answers.
  Heartbeat Notify() {
    AnnounceReply notice;
    notice.entry = EntryInfo{kOwnerId, this->entry_address, "dc"};
    notice.configuration_version = 4;
    RpcClient client(this->agent_address, "key");
    const RpcReply reply = client.Call("notice", Encode(notice), kCallMs);
    EXPECT_EQ(reply.outcome, RpcOutcome::kOk) << reply.message;
    return Decode<Heartbeat>(reply.result);
  }

  OutcomesRequest NextOutcomes() {
    auto message = this->outcomes.PopUntil(std::chrono::steady_clock::now() + kPatience);
    EXPECT_TRUE(message.has_value()) << "no outcomes in time";
    return message.value_or(OutcomesRequest());
  }

  std::string Metrics() {
    HttpClient client("http://" + this->http_address, kPatience);
    OutgoingRequest request;
    request.target = "/metrics";
    return std::get<HttpResponse>(client.SendAndWait(request)).body;
  }

  std::string entry_address;
  std::string agent_address;
  std::string http_address;
  std::string endpoint_address;
  Ring<Announce> announces{1000};
  Ring<OutcomesRequest> outcomes{1000};
  EndpointJournal journal;
  EndpointServer endpoint;
  RpcServer entry;
  AgentProcess agent;
};

TEST_F(AgentProcessTest, RunsTasksAndDepartsWithoutLosingOutcomes) {
  const Announce ready =
      this->WaitForAnnounce([](const Announce& announce) { return announce.load.free_slots == 2; });
  EXPECT_EQ(ready.name, "a");
  const RpcReply first =
      this->Start(ready.agent, 1, MakeTask(1, 0), R"({"run_ms":5,"echo":{"x":1}})");
  ASSERT_EQ(first.outcome, RpcOutcome::kOk) << first.message;
  EXPECT_EQ(Decode<StartReply>(first.result).decisions,
            std::vector<StartRefusal>{StartRefusal::kNone});
  const OutcomesRequest outcomes = this->NextOutcomes();
  ASSERT_EQ(outcomes.outcomes.size(), 1U);
  EXPECT_TRUE(outcomes.outcomes[0].ok);
  EXPECT_EQ(outcomes.outcomes[0].result, R"({"x":1})");

  EXPECT_TRUE(
      Decode<StartReply>(this->Start(ready.agent, 1, MakeTask(1, 0), R"({"run_ms":5})").result)
          .repeated);
  // Guards against an agent that hears of a newer configuration and does not take it in force.
  const auto limit = std::chrono::steady_clock::now() + kPatience;
  while (this->Notify().load.configuration_version != 4) {
    ASSERT_LT(std::chrono::steady_clock::now(), limit);
  }
  const std::string metrics = this->Metrics();
  EXPECT_NE(metrics.find("starts_total 1\n"), std::string::npos) << metrics;
  EXPECT_NE(metrics.find("starts_repeated_total 1\n"), std::string::npos) << metrics;
  EXPECT_NE(metrics.find("messages_useful_total 2\n"), std::string::npos) << metrics;

  // Guarantee 7: the departure waits for the running task and its outcome.
  this->Start(ready.agent, 2, MakeTask(1, 1), R"({"run_ms":300})");
  this->agent.Leave();
  EXPECT_TRUE(this->NextOutcomes().outcomes.at(0).ok);
  this->WaitForAnnounce([](const Announce& announce) { return announce.load.leaving; });
  EXPECT_EQ(this->journal.Size(), 2U);
}

// The connection breaks after the endpoint has started the task, so it may have run.
TEST_F(AgentProcessTest, DroppedConnectionIsReportedAsLostAndStartsOnce) {
  const Announce ready =
      this->WaitForAnnounce([](const Announce& announce) { return announce.load.free_slots == 2; });
  HttpClient control("http://" + this->endpoint_address, kPatience);
  OutgoingRequest request{"POST", "/control", R"({"drop_after_start":true})", "", false};
  EXPECT_EQ(std::get<HttpResponse>(control.SendAndWait(request)).status, 200);
  this->Start(ready.agent, 1, MakeTask(1), R"({"run_ms":1})");
  EXPECT_EQ(this->NextOutcomes().outcomes.at(0).reason, "endpoint_lost");
  this->agent.Leave();
  EXPECT_EQ(this->journal.Size(), 1U);
}

}  // namespace
}  // namespace quetzalvale
