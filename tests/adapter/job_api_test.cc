#include "platform/job_api.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <optional>

#include "entry/relay_headers.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale::platform {
namespace {

constexpr std::chrono::seconds kTestTimeout{20};
constexpr char kTooLate[] = "too late";

/// An entry without agents.
class JobApiTest : public testing::Test {
 protected:
  JobApiTest() : runtime(MakeOptions()), api(this->runtime, 1) {
    EXPECT_EQ(this->runtime.Start({}), "");
    this->api.SetRoutes(1, {MakeRoute()});
  }

  static QueueRoute MakeRoute() {
    QueueRoute route;
    route.name = "queue";
    route.host = "desk.example";
    route.path_prefix = "/jobs/";
    route.service = "s";
    route.timeout = Milliseconds(1500);
    return route;
  }

  /// Adds an agent that does not answer, so that jobs stay in progress.
  void AddAgent() {
    OperatorConfiguration configuration;
    configuration.version = 1;
    configuration.routes = {MakeRoute()};
    for (const auto& [service, document] : ServiceDocuments(configuration, Milliseconds(1000), 1)) {
      this->runtime.Book().Offer(service, {1, document}, "the test");
    }
    Announce announce{{5, 1}, "a", "s", "dc", NextLoopbackAddress(), {}, {}};
    announce.worker.slots = 8;
    announce.worker.cores = 8;
    announce.worker.memory_mb = 1000;
    announce.load.free_slots = 8;
    this->runtime.Core().PostResult(AgentAnnounced{0, announce});
  }

  ~JobApiTest() override {
    this->api.Stop();
    this->runtime.Stop();
  }

  static EntryRuntime::Options MakeOptions() {
    EntryRuntime::Options options;
    options.inner_address = NextLoopbackAddress();
    options.self = {{1, 1}, options.inner_address, "dc"};
    options.shared_key = "k";
    options.services = {"s"};
    options.claim_key = [](const ClaimKey&) {};
    options.render_answer = RenderJobAnswer;
    return options;
  }

  static HttpRequest MakeRequest(const std::string& method) {
    HttpRequest request;
    request.method = method;
    request.target = "/jobs/00000000000000a1";
    request.host = "desk.example";
    return request;
  }

  /// Submits a job that another entry handed on with this limit, and by this version of the
  /// configuration.
  HttpResponse SubmitHandedOn(std::optional<Time> accept_until, const std::string& version = "1") {
    HttpRequest request = MakeRequest("POST");
    request.body = R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":100,"est_ms":50}]})";
    request.headers = {
        {kRelayedHeader, "1"}, {"x-deadline-ms", "1150"}, {kRouteVersionHeader, version}};
    if (accept_until) {
      request.headers[kAcceptUntilHeader] = FormatHeaderTime(*accept_until);
    }
    return this->Handle(request);
  }

  HttpResponse Handle(const HttpRequest& request) {
    auto promise = std::make_shared<std::promise<HttpResponse>>();
    auto response = promise->get_future();
    this->api.Handle(request, [promise](HttpResponse result) { promise->set_value(result); });
    if (response.wait_for(kTestTimeout) != std::future_status::ready) {
      ADD_FAILURE() << "no response";
      return {};
    }
    return response.get();
  }

  EntryRuntime runtime;
  JobApi api;
};

// A suspended entry read a job that had been handed on to it 2.7 s before, counted the time limit
// from then on, and ran it beside the copy that the caller had submitted to a third entry.
TEST_F(JobApiTest, HandedOnJobThatIsReadLateIsRefusedAsNotRun) {
  const HttpResponse response = this->SubmitHandedOn(this->runtime.Time().Now());
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(response.body.find(kTooLate), std::string::npos) << response.body;
}

// An entry with the newest configuration handed jobs on to one that was cut off from the store, and
// they ran on the service of the older one (review/11).
TEST_F(JobApiTest, HandedOnJobOfANewerConfigurationIsRefusedAsNotRun) {
  const auto submit = [this](const std::string& version) {
    return this->SubmitHandedOn(this->runtime.Time().Now() + kRelayAcceptWindow, version);
  };
  this->api.SetRoutes(7, {MakeRoute()});
  const HttpResponse newer = submit("8");
  EXPECT_EQ(newer.status, 503);
  EXPECT_NE(newer.body.find("older configuration"), std::string::npos) << newer.body;
  for (const char* version : {"7", "6", "0", "", "x"}) {
    EXPECT_EQ(submit(version).body.find("older configuration"), std::string::npos) << version;
  }
  // The route that the sender has is not known here yet: only 503 says that the job did not run.
  this->api.SetRoutes(7, {});
  EXPECT_EQ(submit("8").status, 503);
  EXPECT_EQ(submit("7").status, 404);
}

TEST_F(JobApiTest, HandedOnJobWithoutALimitIsRefusedAsNotRun) {
  EXPECT_EQ(this->SubmitHandedOn(std::nullopt).status, 503);
}

TEST_F(JobApiTest, HandedOnJobThatIsReadInTimeIsTaken) {
  const HttpResponse response =
      this->SubmitHandedOn(this->runtime.Time().Now() + kRelayAcceptWindow);
  EXPECT_EQ(response.body.find(kTooLate), std::string::npos) << response.body;
}

// Without the clock of this entry, the other one cannot state until when a job may be accepted.
TEST_F(JobApiTest, ResponsesToOtherEntriesTellTheClock) {
  const Time before = this->runtime.Time().Now();
  const HttpResponse response = this->SubmitHandedOn(std::nullopt);
  const auto header = response.headers.find(kPeerClockHeader);
  ASSERT_NE(header, response.headers.end());
  const auto time = ParseHeaderTime(header->second);
  ASSERT_TRUE(time);
  EXPECT_GE(*time, before - Milliseconds(1));
  EXPECT_LE(*time, this->runtime.Time().Now());
}

// The smaller of both limits was taken, so a run of 1,600 ms was broken off for a caller that
// waited for 2,300 ms, and its answer was never given.
TEST(JobTimeLimitTest, CallersThatSayHowLongTheyWaitAreNotLimitedByTheRoute) {
  constexpr Milliseconds kRouteTimeout{1500};
  EXPECT_EQ(JobTimeLimit(Milliseconds(2300), kRouteTimeout), Milliseconds(2300));
  EXPECT_EQ(JobTimeLimit(Milliseconds(300), kRouteTimeout), Milliseconds(300));
  EXPECT_EQ(JobTimeLimit(std::nullopt, kRouteTimeout), kRouteTimeout);
}

TEST_F(JobApiTest, CancellationOfAJobThatIsNotHereIsAnsweredAsGone) {
  EXPECT_EQ(this->Handle(MakeRequest("DELETE")).status, 410);
}

// A job in progress could not be cancelled once the configuration had moved its queue to another
// service or dropped it, and its tasks worked on (review/14).
TEST_F(JobApiTest, CancellationFindsAJobWhoseQueueWasMovedOrDropped) {
  this->AddAgent();
  for (const bool dropped : {false, true}) {
    SCOPED_TRACE(dropped);
    QueueRoute moved = MakeRoute();
    this->api.SetRoutes(1, {moved});
    HttpRequest request = MakeRequest("POST");
    request.body = R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":100,"est_ms":50}]})";
    request.headers = {{"x-deadline-ms", "20000"}};
    std::promise<HttpResponse> answered;
    auto answer = answered.get_future();
    request.exchange = dropped ? 2 : 1;
    request.target = "/jobs/00000000000000b" + std::to_string(request.exchange);
    this->api.Handle(request, [&](HttpResponse result) { answered.set_value(result); });
    moved.service = "other";
    this->api.SetRoutes(2, dropped ? std::vector<QueueRoute>{} : std::vector<QueueRoute>{moved});
    HttpRequest cancellation = MakeRequest("DELETE");
    cancellation.target = request.target;
    EXPECT_EQ(this->Handle(cancellation).status, 200);
    ASSERT_EQ(answer.wait_for(kTestTimeout), std::future_status::ready);
    EXPECT_EQ(answer.get().body, R"({"state":"cancelled"})");
  }
  EXPECT_EQ(this->Handle(MakeRequest("DELETE")).status, 404) << "no such queue, and no such job";
}

// A caller that was told 504 would submit the cancelled job again.
TEST(RenderJobAnswerTest, CancelledJobIsAnsweredAsEnded) {
  Answer answer;
  answer.status = AnswerStatus::kFailed;
  answer.reason = kCancelledByRequest;
  for (const bool not_run : {false, true}) {
    answer.not_run = not_run;
    const HttpResponse response = RenderJobAnswer(answer);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, R"({"state":"cancelled"})");
  }
}

// A job taken shortly before the process ends would be lost with it.
TEST_F(JobApiTest, LeavingEntryTakesOnlyJobsThatItCanAnswer) {
  const Time now = this->runtime.Time().Now();
  this->api.Close(now + std::chrono::seconds(1));
  const HttpResponse late = this->SubmitHandedOn(now + kRelayAcceptWindow);
  EXPECT_EQ(late.status, 503);
  EXPECT_NE(late.body.find("leaving"), std::string::npos) << late.body;
  this->api.Close(now + std::chrono::seconds(60));
  const HttpResponse taken = this->SubmitHandedOn(this->runtime.Time().Now() + kRelayAcceptWindow);
  EXPECT_EQ(taken.body.find("leaving"), std::string::npos) << taken.body;
}

}  // namespace
}  // namespace quetzalvale::platform
