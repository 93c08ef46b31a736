/// Tests of the operators' command line against scripted entries.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "ctl/apply.h"
#include "ctl/confirmation.h"
#include "ctl/submit.h"
#include "ctl/validate.h"
#include "protocol/codec.h"

namespace quetzalvale {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

/// Time passes only in pauses.
class ManualClock : public Clock {
 public:
  std::chrono::steady_clock::time_point Now() const override { return this->now; }
  std::chrono::system_clock::time_point WallNow() const override { return {}; }

  std::chrono::steady_clock::time_point now{};
};

class CtlTest : public testing::Test {
 protected:
  void Expect(CallResult result) { this->results.push_back(std::move(result)); }
  void ExpectReply(int status, const std::string& body) { this->Expect(CallReply{status, body}); }

  std::string Write(const std::string& text) {
    const auto* test = testing::UnitTest::GetInstance()->current_test_info();
    this->file = testing::TempDir() + "ctl_test_" + test->name() + ".json";
    std::ofstream(this->file) << text;
    return this->file;
  }

  void TearDown() override { std::filesystem::remove(this->file); }

  CallResult Transport(const CallRequest& request) {
    this->calls.push_back(request.address + " " + request.method + " " + request.path);
    const std::string body = request.body.empty() ? "{}" : request.body;
    this->bodies.push_back(std::get<Json::Value>(ReadJson(body)));
    if (this->results.empty()) {
      return Error{ErrorKind::kUnreachable, "no connection"};
    }
    CallResult result = this->results.front();
    this->results.pop_front();
    return result;
  }

  std::filesystem::path file;
  std::deque<CallResult> results;
  std::vector<std::string> calls;
  std::vector<Json::Value> bodies;
  EntryClient client{
      {"a", "b"}, "secret", std::chrono::seconds(1), [this](const CallRequest& request) {
        return this->Transport(request);
      }};
  ManualClock clock;
  std::ostringstream out;
  std::ostringstream err;
  Session session{client, clock, [this](std::chrono::milliseconds time) { clock.now += time; }, out,
                  err};
};

constexpr char kTicket[] = R"({"tickets": ["s~1~2~3"]})";
constexpr char kOtherTicket[] = R"({"tickets": ["s~1~7~3"]})";
constexpr char kComplete[] = R"({"status": "complete", "outcomes": [{"result": 1}]})";

/// Guards against a second job after a broken connection: the ticket stays, the entry changes.
TEST_F(CtlTest, SubmitKeepsItsTicketWhenTheConnectionBreaks) {
  this->ExpectReply(200, kTicket);
  this->Expect(Error{ErrorKind::kTimeout, "connection lost"});
  this->ExpectReply(200, kComplete);
  Submit submit(this->session, {this->Write(R"([{"payload": 1}])"), "s", "t", "k"});
  EXPECT_EQ(submit.Run(), ExitCode::kDone);
  EXPECT_THAT(this->calls, ElementsAre("a POST /v1/services/s/tickets",
                                       "a POST /v1/services/s/jobs", "b POST /v1/services/s/jobs"));
  EXPECT_EQ(this->bodies[1], this->bodies[2]);
  EXPECT_EQ(this->bodies[2]["ticket"], "s~1~2~3");
}

/// Guards against a second job without proof that the first one did not run.
TEST_F(CtlTest, SubmitTakesANewTicketOnlyAfterProofOfNotRun) {
  const std::string refusal = R"({"status": "refused", "error": "leaving", "message": "m")";
  this->ExpectReply(200, kTicket);
  this->ExpectReply(503, refusal + R"(, "not_run": true})");
  this->ExpectReply(200, kOtherTicket);
  this->ExpectReply(503, refusal + R"(, "not_run": false})");
  Submit submit(this->session, {this->Write("[]"), "s", "t", "k"});
  EXPECT_EQ(submit.Run(), ExitCode::kRefused);
  EXPECT_EQ(this->bodies[3]["ticket"], "s~1~7~3");
}

/// Guards against taking a proxy's error page for the job's answer.
TEST_F(CtlTest, SubmitResubmitsWhenTheReplyIsNotAnAnswer) {
  this->ExpectReply(200, kTicket);
  this->ExpectReply(500, "<html>");
  this->ExpectReply(200, R"({"status": "failed", "reason": "deadline", "not_run": true})");
  Submit submit(this->session, {this->Write("[]"), "s", "t", "k"});
  EXPECT_EQ(submit.Run(), ExitCode::kJobFailed);
  EXPECT_EQ(this->bodies[2]["ticket"], "s~1~2~3");
}

/// Guards against leaving the operator without the means to ask for the job later.
TEST_F(CtlTest, SubmitNamesTheTicketWhenNoAnswerComes) {
  this->ExpectReply(200, kTicket);
  Submit submit(this->session, {this->Write("[]"), "s", "t", "k"});
  EXPECT_EQ(submit.Run(), ExitCode::kNoAnswer);
  EXPECT_THAT(this->err.str(), HasSubstr("s~1~2~3"));
}

constexpr char kDocument[] =
    R"({"service": "s", "kinds": [{"name": "k"}], "teams": [{"name": "t"}]})";

/// Guards against reporting the operator's own change as another one's after a lost answer.
TEST_F(CtlTest, ApplyFindsItsOwnChangeAfterALostAnswer) {
  this->Expect(Error{ErrorKind::kTimeout, "connection lost"});
  this->ExpectReply(409, R"({"message": "stale"})");
  this->ExpectReply(200, R"({"changes": [{"change_id": "c", "version": 5}]})");
  Apply apply(this->session, {this->Write(kDocument), "", 4, "c"});
  EXPECT_EQ(apply.Run(), ExitCode::kDone);
  EXPECT_THAT(this->out.str(), HasSubstr("\"version\": 5"));
}

/// Guards against reporting another operator's change as one's own.
TEST_F(CtlTest, ApplyReportsAnotherOperatorsChange) {
  this->ExpectReply(409, R"({"message": "stale"})");
  this->ExpectReply(200, R"({"changes": [{"change_id": "x", "version": 5}]})");
  Apply apply(this->session, {this->Write(kDocument), "", 4, "c"});
  EXPECT_EQ(apply.Run(), ExitCode::kStaleBase);
}

/// Guards against a document applied to the wrong service.
TEST_F(CtlTest, ApplyRefusesADocumentOfAnotherService) {
  Apply apply(this->session, {this->Write(kDocument), "other", 4, "c"});
  EXPECT_EQ(apply.Run(), ExitCode::kInvalid);
  EXPECT_TRUE(this->calls.empty());
}

Json::Value StatusOf(const char* name, int entry_version, int agent_version) {
  Json::Value json;
  json["entry"]["incarnation"] = name;
  Json::Value& service = json["services"][0];
  service["service"] = "s";
  service["configuration_version"] = entry_version;
  service["agents"][0]["incarnation"] = "w1";
  service["agents"][0]["configuration_version"] = agent_version;
  service["agents"][0]["member"] = true;
  return json;
}

/// Guards against counting an agent twice, or by the older of two reports.
TEST(ConfirmationTest, CountsEachProcessOnceWithItsHighestVersion) {
  Confirmation confirmation("s");
  confirmation.Add(StatusOf("e1", 5, 4));
  confirmation.Add(StatusOf("e2", 4, 5));
  EXPECT_EQ(confirmation.Processes(), 3U);
  EXPECT_EQ(confirmation.Confirmed(5), 2U);
}

/// Guards against reporting a change as in force while an entry that was not asked, or an agent,
/// has not taken it, and against waiting for agents that will never take it.
TEST(ConfirmationTest, CountsPeersAndTheAgentsInUse) {
  Json::Value status = StatusOf("e1", 5, 4);
  Json::Value& service = status["services"][0];
  service["peers"][0]["incarnation"] = "e2";
  service["peers"][0]["configuration_version"] = 4;
  for (const char* state : {"lost", "leaving"}) {
    Json::Value agent = service["agents"][0];
    agent["incarnation"] = state;
    agent[state] = true;
    service["agents"].append(agent);
  }
  Json::Value distant = service["agents"][0];
  distant["incarnation"] = "w2";
  distant["member"] = false;
  service["agents"].append(distant);
  Confirmation confirmation("s");
  confirmation.Add(status);
  EXPECT_EQ(confirmation.Processes(), 3U);
  EXPECT_EQ(confirmation.Confirmed(5), 1U);
  EXPECT_EQ(confirmation.Confirmed(4), 3U);
}

/// Guards against errors that do not say which file is wrong.
TEST_F(CtlTest, ValidateNamesTheFile) {
  EXPECT_EQ(Validate(this->Write("{"), this->out, this->err).Run(), ExitCode::kInvalid);
  EXPECT_THAT(this->err.str(), HasSubstr(this->file.string() + ": "));
}

/// Guards against documents in settings/ that the entry refuses.
TEST_F(CtlTest, ValidateAcceptsTheDeployments) {
  for (const char* name : {"settings/zarqa.json", "settings/rabaryog.json"}) {
    const std::string path = std::string(QUETZALVALE_ROOT "/") + name;
    EXPECT_EQ(Validate(path, this->out, this->err).Run(), ExitCode::kDone) << this->err.str();
  }
}

}  // namespace
}  // namespace quetzalvale
