#include "platform/worker_report_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "http/http_session.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale::platform {
namespace {

/// Stands still unless a test moves it.
class ManualClock : public Clock {
 public:
  std::chrono::steady_clock::time_point Now() const override { return this->now.load(); }
  std::chrono::system_clock::time_point WallNow() const override { return {}; }

  std::atomic<std::chrono::steady_clock::time_point> now{};
};

class WorkerReportServerTest : public testing::Test {
 protected:
  WorkerReportServerTest() { EXPECT_EQ(this->server.Start(), ""); }

  int Post(const std::string& call, const std::string& body) {
    OutgoingRequest request{"POST", "/api/Instances." + call + "/i-1", body};
    const auto result = this->session.SendAndWait(request, std::chrono::seconds(20));
    return std::holds_alternative<HttpResponse>(result) ? std::get<HttpResponse>(result).status : 0;
  }

  int Report(int born, int sequence, const std::string& state = "ready",
             const std::string& service = "s") {
    return this->Post("Heartbeat", R"({"service":")" + service + R"(","state":")" + state +
                                       R"(","capacity":{"cpu":16000,"mem_mb":1024},"born":)" +
                                       std::to_string(born) +
                                       ",\"seq\":" + std::to_string(sequence) + "}");
  }

  const std::string address = NextLoopbackAddress();
  ManualClock clock;
  WorkerReportServer server{this->address, this->clock};
  HttpSession session{this->address, 1};
};

// A report that was delayed until after the worker's departure registered it again, and it got
// starts until the first poll of it failed.
TEST_F(WorkerReportServerTest, DelayedReportDoesNotBringBackAWorkerThatLeft) {
  this->Report(500, 1);
  this->Report(500, 2, "draining");
  EXPECT_EQ(this->Post("Leave", R"({"born":500})"), 200);
  EXPECT_FALSE(this->server.LatestReport());
  EXPECT_EQ(this->Report(500, 1), 200);
  EXPECT_FALSE(this->server.LatestReport());
  this->Report(600, 1);
  ASSERT_TRUE(this->server.LatestReport()) << "a new incarnation may use the id again";
}

// The departure of the incarnation before, delayed by a partition, must not end the present one.
TEST_F(WorkerReportServerTest, DelayedDepartureDoesNotEndTheNextIncarnation) {
  this->Report(500, 1);
  this->Report(600, 1);
  this->Post("Leave", R"({"born":500})");
  ASSERT_TRUE(this->server.LatestReport());
  this->Post("Leave", R"({"born":600})");
  EXPECT_FALSE(this->server.LatestReport());
}

// A report of another writer with an unknown service and a later start was taken for the next
// incarnation of the worker, and the agent dropped a healthy worker for good (issue 32).
TEST_F(WorkerReportServerTest, ReportOfAnotherServiceDoesNotEndTheUseOfTheWorker) {
  this->Report(500, 1);
  this->Report(900, 1, "ready", "unknown");
  this->Report(500, 9, "draining", "unknown");
  ASSERT_TRUE(this->server.LatestReport());
  EXPECT_EQ(this->server.LatestReport()->service, "s");
  EXPECT_EQ(this->server.LatestReport()->started_at, 500);
  EXPECT_FALSE(this->server.LatestReport()->draining);
  this->Report(500, 2, "draining");
  EXPECT_TRUE(this->server.LatestReport()->draining);
  this->Report(600, 1);
  EXPECT_EQ(this->server.LatestReport()->started_at, 600);
}

// A machine whose service changes must not stay without an agent.
TEST_F(WorkerReportServerTest, WorkerOfAnotherServiceIsTakenOnceTheFirstIsGone) {
  this->Report(500, 1);
  this->Post("Leave", R"({"born":500})");
  this->Report(600, 1, "ready", "other");
  ASSERT_TRUE(this->server.LatestReport());
  EXPECT_EQ(this->server.LatestReport()->service, "other");
  this->clock.now = this->clock.now.load() + std::chrono::milliseconds(9999);
  this->Report(550, 1);
  EXPECT_EQ(this->server.LatestReport()->service, "other");
  this->clock.now = this->clock.now.load() + std::chrono::milliseconds(1);
  this->Report(550, 1);
  EXPECT_EQ(this->server.LatestReport()->service, "s") << "whatever the other one's start";
}

// The clock of a machine was set back before its worker started again. The worker's reports were
// taken for delayed ones of an earlier incarnation, and it never got an agent.
TEST_F(WorkerReportServerTest, IncarnationThatAnswersReplacesOneOfALaterStart) {
  this->Report(900, 5);
  this->Report(500, 1);
  ASSERT_EQ(this->server.LatestReport()->started_at, 900) << "a delayed report, as far as is known";
  this->server.MarkReplaced(*this->server.LatestReport());
  ASSERT_TRUE(this->server.LatestReport()) << "its agent still delivers outcomes";
  this->Report(900, 6);
  this->Report(500, 2);
  ASSERT_EQ(this->server.LatestReport()->started_at, 500);
  this->Report(900, 7);
  EXPECT_EQ(this->server.LatestReport()->started_at, 500) << "the replaced one does not come back";
}

// The same after the earlier incarnation has left.
TEST_F(WorkerReportServerTest, IncarnationAfterADepartureMayHaveAnEarlierStart) {
  this->Report(900, 1);
  this->Post("Leave", R"({"born":900})");
  this->Report(500, 1);
  ASSERT_TRUE(this->server.LatestReport());
  EXPECT_EQ(this->server.LatestReport()->started_at, 500);
}

// A replaced worker does not keep its machine from one of another service.
TEST_F(WorkerReportServerTest, ReplacedWorkerDoesNotHoldItsService) {
  this->Report(500, 1);
  this->server.MarkReplaced(*this->server.LatestReport());
  this->Report(600, 1, "ready", "other");
  EXPECT_EQ(this->server.LatestReport()->service, "other");
}

// Only the registered incarnation can be replaced: the agent may learn of it late.
TEST_F(WorkerReportServerTest, NextIncarnationIsNotReplacedInPlaceOfItsPredecessor) {
  this->Report(500, 1);
  const WorkerReport first = *this->server.LatestReport();
  this->Report(600, 1);
  this->server.MarkReplaced(first);
  this->Report(550, 1);
  EXPECT_EQ(this->server.LatestReport()->started_at, 600);
}

TEST_F(WorkerReportServerTest, LateReportDoesNotEndDraining) {
  this->Report(500, 7, "draining");
  this->Report(500, 6);
  EXPECT_TRUE(this->server.LatestReport()->draining);
}

}  // namespace
}  // namespace quetzalvale::platform
