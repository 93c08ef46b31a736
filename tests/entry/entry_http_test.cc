#include <gtest/gtest.h>

#include <condition_variable>
#include <thread>

#include "entry/entry_process.h"
#include "http/http_client.h"
#include "protocol/codec.h"
#include "protocol/rpc_client.h"
#include "standin/platform_server.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

const std::string platform_address = NextLoopbackAddress();
const std::string caller_address = NextLoopbackAddress();
const std::string inner_address = NextLoopbackAddress();
const std::string agent_address = NextLoopbackAddress();
constexpr char kKey[] = "secret";
constexpr char kToken[] = "token-of-ana";
constexpr int kTimeoutMs = 60000;
constexpr std::chrono::milliseconds kTimeout{kTimeoutMs};
const std::string jobs_path = "/v1/services/shop/jobs";
const std::string configuration_path = "/admin/v1/services/shop/configuration";

ProcessSettings Settings() {
  ProcessSettings settings;
  settings.name = "e1";
  settings.data_centre = "Marka";
  settings.services = {"shop"};
  settings.caller_address = caller_address;
  settings.inner_address = inner_address;
  settings.advertised_address = inner_address;
  settings.platform = "http://" + platform_address;
  settings.shared_key = kKey;
  settings.administrators = {{"ana", Sha256Text(kToken)}};
  return settings;
}

/// Agent that accepts starts; their tasks end when the test says so.
class FakeAgent {
 public:
  FakeAgent() : server(agent_address, kKey) {
    this->server.RegisterMessage(
        "start", [this](const RpcParameters& parameters, const RpcResponder& responder) {
          const auto request = parameters.Read<StartRequest>();
          StartReply reply;
          reply.agent = request.agent;
          reply.load.free_slots = 8;
          reply.decisions.assign(request.items.size(), StartRefusal::kNone);
          const std::lock_guard lock(this->mutex);
          this->owner = request.owner;
          this->items.insert(this->items.end(), request.items.begin(), request.items.end());
          this->changed.notify_all();
          responder.Reply(reply);
        });
    EXPECT_TRUE(this->server.Start());
  }

  void Announce() {
    quetzalvale::Announce message;
    message.agent = this->self;
    message.name = "a1";
    message.service = "shop";
    message.data_centre = "Marka";
    message.address = agent_address;
    message.worker = {8, 64, 16, 32768, 0};
    message.load.free_slots = 8;
    RpcClient client(inner_address, kKey);
    const auto reply = client.Call("announce", Encode(message), kTimeoutMs);
    ASSERT_EQ(reply.outcome, RpcOutcome::kOk) << reply.message;
  }

  void AwaitStarts(std::size_t count) {
    std::unique_lock lock(this->mutex);
    ASSERT_TRUE(
        this->changed.wait_for(lock, kTimeout, [&] { return this->items.size() >= count; }));
  }

  /// Reports every started task as done, with its payload as the result.
  void Finish() {
    OutcomesRequest message;
    {
      const std::lock_guard lock(this->mutex);
      message.owner = this->owner;
      for (const auto& item : this->items) {
        message.outcomes.push_back({item.task, true, "", item.spec.payload, Microseconds(10)});
      }
    }
    message.agent = this->self;
    message.load.free_slots = 8;
    RpcClient client(inner_address, kKey);
    const auto reply = client.Call("outcomes", Encode(message), kTimeoutMs);
    EXPECT_EQ(reply.outcome, RpcOutcome::kOk) << reply.message;
  }

 private:
  Incarnation self{7, 7};
  RpcServer server;
  std::mutex mutex;
  std::condition_variable changed;
  Incarnation owner;
  std::vector<StartItem> items;
};

struct Reply {
  int status = 0;
  Json::Value body;
};

class EntryHttpTest : public testing::Test {
 protected:
  EntryHttpTest() {
    EXPECT_EQ(this->platform.Start(), "");
    EXPECT_EQ(this->entry.Start(), "");
  }
  ~EntryHttpTest() override {
    this->entry.Stop();
    this->platform.Stop();
  }

  Reply Send(const std::string& method, const std::string& target, const std::string& body = "",
             const std::string& token = "") {
    OutgoingRequest request{.method = method, .target = target, .body = body};
    request.authorization = token.empty() ? "" : "Bearer " + token;
    const auto result = this->client.SendAndWait(request);
    if (const auto* failure = std::get_if<HttpFailure>(&result)) {
      ADD_FAILURE() << method << " " << target << ": " << failure->message;
      return {};
    }
    const auto& response = std::get<HttpResponse>(result);
    const auto json = ReadJson(response.body);
    return {response.status, IsOk(json) ? std::get<Json::Value>(json) : Json::Value()};
  }

  Reply Apply(std::uint64_t base, const std::string& change_id, const std::string& service = "shop",
              const std::string& token = kToken) {
    return this->Send("PUT", configuration_path,
                      R"({"base_version": )" + std::to_string(base) + R"(, "change_id": ")" +
                          change_id + R"(", "document": {"service": ")" + service +
                          R"(", "kinds": [{"name": "quote", "deadline_ms": 600000}],
                             "teams": [{"name": "web"}],
                             "health": {"agent_lost_ms": 600000, "agent_dead_ms": 700000}}})",
                      token);
  }

  std::string DrawTicket() {
    const Reply reply = this->Send("POST", "/v1/services/shop/tickets", R"({"count": 1})");
    EXPECT_EQ(reply.status, 200);
    return reply.body["tickets"][0].asString();
  }

  static std::string Job(const std::string& ticket) {
    return R"({"ticket": ")" + ticket +
           R"(", "team": "web", "kind": "quote", "tasks": [{"payload": 1}, {"payload": "b"}]})";
  }

  PlatformServer platform{platform_address};
  FakeAgent agent;
  EntryProcess entry{Settings(), [] {}};
  HttpClient client{std::string("http://") + caller_address, kTimeout};
};

TEST_F(EntryHttpTest, JobIsAnsweredWithItsResultsInOrder) {
  EXPECT_EQ(this->Send("GET", "/ready").status, 503);
  EXPECT_EQ(this->Apply(0, "c1").status, 200);
  EXPECT_EQ(this->Send("GET", "/ready").status, 200);
  this->agent.Announce();
  const std::string ticket = this->DrawTicket();
  std::thread finisher([this] {
    this->agent.AwaitStarts(2);
    this->agent.Finish();
  });
  const Reply answer = this->Send("POST", jobs_path, Job(ticket));
  finisher.join();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body["status"], "complete") << WriteJson(answer.body);
  EXPECT_EQ(answer.body["outcomes"][0]["result"], 1);
  EXPECT_EQ(answer.body["outcomes"][1]["result"], "b");
  EXPECT_EQ(this->Send("GET", jobs_path + "/" + ticket).body["status"], "complete");
}

// An entry that has just started knows nothing of a job that another entry may have run, and a
// refusal before the ticket was looked at proves nothing.
TEST_F(EntryHttpTest, RefusalsBeforeTheLookUpClaimNothingAboutTheJob) {
  const std::string ticket = "shop~000000000000000000000000000000ff~1~1";
  const Reply not_ready = this->Send("POST", jobs_path, Job(ticket));
  EXPECT_EQ(not_ready.body["error"], "not_ready");
  EXPECT_FALSE(not_ready.body["not_run"].asBool());
  const std::string other_service = "/v1/services/other/jobs";
  const Reply unknown = this->Send("POST", other_service, R"({"ticket": "other~ff~1~1"})");
  EXPECT_EQ(unknown.body["error"], "unknown_service");
  EXPECT_FALSE(unknown.body["not_run"].asBool());
  EXPECT_EQ(this->Apply(0, "c1").status, 200);
  const Reply malformed = this->Send("POST", jobs_path, R"({"ticket": ")" + ticket + R"("})");
  EXPECT_EQ(malformed.body["error"], "malformed");
  EXPECT_FALSE(malformed.body["not_run"].asBool());
  const Reply truncated = this->Send("POST", jobs_path, Job(ticket).substr(0, 60));
  EXPECT_EQ(truncated.status, 400);
  EXPECT_FALSE(truncated.body["not_run"].asBool());
  // The limit may have been higher when the job ran.
  const Reply large = this->Send("POST", jobs_path, std::string((1U << 20U) + 1, 'x'));
  EXPECT_EQ(large.status, 413);
  EXPECT_FALSE(large.body["not_run"].asBool());
  const Reply nameless = this->Send("POST", jobs_path, R"({"team": "web", "kind": "quote"})");
  EXPECT_EQ(nameless.body["error"], "no_identity");
  EXPECT_TRUE(nameless.body["not_run"].asBool());
}

// A departing entry that closes its listener early breaks the connections of waiting callers.
TEST_F(EntryHttpTest, DepartureAnswersTheJobsInProgress) {
  EXPECT_EQ(this->Apply(0, "c1").status, 200);
  this->agent.Announce();
  Reply answer;
  std::thread caller([this, &answer, ticket = this->DrawTicket()] {
    answer = this->Send("POST", jobs_path, Job(ticket));
  });
  this->agent.AwaitStarts(2);
  std::thread leaver([this] { this->entry.Leave(); });
  while (this->Send("GET", "/ready").status == 200) {
    std::this_thread::yield();
  }
  this->agent.Finish();
  caller.join();
  leaver.join();
  EXPECT_EQ(answer.body["status"], "complete") << WriteJson(answer.body);
  EXPECT_TRUE(this->platform.Store().Scan("entries", "", 10).empty());
}

TEST_F(EntryHttpTest, OnlyAdministratorsChangeTheConfiguration) {
  EXPECT_EQ(this->Apply(0, "c1", "shop", "guess").status, 401);
  EXPECT_EQ(this->Apply(0, "c1", "shop", "").status, 401);
  EXPECT_EQ(this->Send("POST", "/admin/v1/drain").status, 401);
  EXPECT_FALSE(this->platform.Store().Read("configuration", "shop"));
  EXPECT_EQ(this->Apply(0, "c1").body["version"], 1);
  EXPECT_EQ(this->platform.Store().Read("audit", "shop/1")->value["holder"], "ana");
}

TEST_F(EntryHttpTest, ChangesAreRefusedWithTheirReason) {
  EXPECT_EQ(this->Apply(0, "c1", "other").status, 422);
  EXPECT_EQ(this->Apply(0, "c1").status, 200);
  EXPECT_EQ(this->Apply(0, "c2").status, 409);
  EXPECT_EQ(this->Send("PUT", configuration_path, "{", kToken).status, 400);
  const std::string audit_path = "/admin/v1/services/shop/audit?limit=";
  EXPECT_EQ(this->Send("GET", audit_path + "1", "", kToken).body["changes"].size(), 1U);
  for (const char* limit : {"", "0", "201", "-1", "1x", "99999999999"}) {
    EXPECT_EQ(this->Send("GET", audit_path + limit, "", kToken).status, 400) << limit;
  }
  EXPECT_TRUE(
      IsOk(this->platform.Faults().Change(std::get<Json::Value>(ReadJson(R"({"outage": true})")))));
  const Reply refused = this->Apply(1, "c3");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.body["applied"], false);
}

// Each of these has crashed or hung servers of this kind: wrong paths, methods, encodings, sizes.
TEST_F(EntryHttpTest, BadInputIsRefusedAndTheEntryGoesOn) {
  EXPECT_EQ(this->Apply(0, "c1").status, 200);
  const std::string foreign = "shop~000000000000000000000000000000aa~7~2";
  EXPECT_EQ(this->Send("POST", "/v1/services/none/jobs", Job(foreign)).status, 404);
  EXPECT_EQ(this->Send("GET", jobs_path).status, 405);
  EXPECT_EQ(this->Send("PATCH", jobs_path + "/" + foreign).status, 405);
  EXPECT_EQ(this->Send("GET", jobs_path + "/nonsense").status, 404);
  EXPECT_EQ(this->Send("GET", "/").status, 404);
  EXPECT_EQ(this->Send("GET", "/v1/services/%ff%00/jobs/x/y/z").status, 404);
  EXPECT_EQ(this->Send("POST", jobs_path, "{\"ticket\": \"\xff\"}").status, 400);
  EXPECT_EQ(this->Send("POST", jobs_path, std::string(100000, '[')).status, 400);
  EXPECT_EQ(this->Send("POST", jobs_path, std::string((1U << 20U) + 1, 'x')).status, 413);
  EXPECT_EQ(this->Send("POST", "/v1/services/shop/tickets", "{}").status, 400);
  // Nobody knows the owner of this ticket: the answer comes at the latest at the job's deadline.
  std::string job = Job(foreign);
  job.insert(1, R"("deadline_ms": 500, )");
  const Reply salvaged = this->Send("POST", jobs_path, job);
  EXPECT_NE(salvaged.body["status"], "complete") << WriteJson(salvaged.body);
  RpcClient inner(inner_address, kKey);
  Json::Value nonsense(Json::objectValue);
  nonsense["agent"] = "x";
  EXPECT_EQ(inner.Call("announce", nonsense, kTimeoutMs).outcome, RpcOutcome::kRefused);
  EXPECT_EQ(this->Send("GET", "/ready").status, 200);
}

TEST_F(EntryHttpTest, MetricsStatusAndConfigurationAreServed) {
  EXPECT_EQ(this->Apply(0, "c1").status, 200);
  // quetzalvale-ctl finds the entry to drain by this name.
  EXPECT_EQ(this->Send("GET", "/admin/v1/status", "", kToken).body["name"], "e1");
  const auto result = this->client.SendAndWait({.method = "GET", .target = "/metrics"});
  const std::string text = std::get<HttpResponse>(result).body;
  for (const char* name : {"messages_sent_total ", "messages_useful_total ", "jobs_complete_total ",
                           "process_cpu_seconds_total "}) {
    EXPECT_NE(text.find(name), std::string::npos) << name;
  }
  Json::Value parameters;
  parameters["service"] = "shop";
  RpcClient inner(inner_address, kKey);
  const auto reply = inner.Call("configuration", parameters, kTimeoutMs);
  EXPECT_EQ(reply.result["version"], 1);
  EXPECT_EQ(reply.result["document"]["service"], "shop");
}

}  // namespace
}  // namespace quetzalvale
