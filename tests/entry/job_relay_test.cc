#include "entry/job_relay.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <optional>
#include <thread>

#include "entry/relay_headers.h"
#include "http/http_server.h"
#include "runtime/clock.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::seconds kPatience{20};

/// Another entry, which keeps requests until the test answers them.
class FakePeer {
 public:
  FakePeer()
      : server(
            this->address, [] { return std::size_t{100000}; },
            [this](const HttpRequest& request, const HttpResponder& respond) {
              this->responder = respond;
              this->arrived.set_value(request);
            }) {
    this->server.SetAbandoned([this](std::uint64_t) { this->abandoned.set_value(); });
    EXPECT_EQ(this->server.Start(), "");
  }

  HttpRequest Arrived() { return this->arrived.get_future().get(); }

  const std::string address = NextLoopbackAddress();
  HttpResponder responder;
  std::promise<HttpRequest> arrived;
  std::promise<void> abandoned;
  HttpServer server;
};

class JobRelayTest : public testing::Test {
 protected:
  static OutgoingRequest Request() {
    OutgoingRequest request{"POST", "/q/00000000000000a1", "{}"};
    request.headers["Host"] = "desk.example";
    return request;
  }

  std::future<HttpResult> Send(std::uint64_t exchange) {
    auto promise = std::make_shared<std::promise<HttpResult>>();
    this->relay.Send(this->peer.address, exchange, Request(), kPatience,
                     [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return promise->get_future();
  }

  SystemClock clock;
  FakePeer peer;
  JobRelay relay{0.1, this->clock};
};

// The other entry routes by host and path, so both must arrive as the caller sent them.
TEST_F(JobRelayTest, PeerGetsTheCallersRequest) {
  auto result = this->Send(1);
  const HttpRequest request = this->peer.Arrived();
  EXPECT_EQ(request.host, "desk.example");
  EXPECT_EQ(request.target, "/q/00000000000000a1");
  this->peer.responder({200, R"({"state":"complete"})"});
  EXPECT_EQ(std::get<HttpResponse>(result.get()).body, R"({"state":"complete"})");
  EXPECT_FALSE(this->relay.Abandon(1)) << "the request has its answer";
}

// A caller that closed its connection submits the job again, so the peer has to stop it.
TEST_F(JobRelayTest, AbandonedRequestIsClosedTowardsThePeer) {
  auto result = this->Send(1);
  this->peer.Arrived();
  EXPECT_TRUE(this->relay.Abandon(1));
  EXPECT_EQ(this->peer.abandoned.get_future().wait_for(kPatience), std::future_status::ready);
  this->peer.responder({200, "{}"});
  this->relay.Stop();
  EXPECT_THROW(result.get(), std::future_error) << "the result was dropped";
}

TEST_F(JobRelayTest, PeerThatIsDownHasNotGotTheRequest) {
  this->peer.server.Stop(std::chrono::milliseconds(0));
  auto result = this->Send(1);
  EXPECT_TRUE(std::get<HttpFailure>(result.get()).not_sent);
}

// The time until which the peer may accept a job is stated on the peer's clock, which is asked for
// first and then comes with each response.
TEST_F(JobRelayTest, PeerIsAskedForItsClock) {
  EXPECT_FALSE(this->relay.PeerTime(this->peer.address));
  EXPECT_EQ(this->peer.Arrived().Header(kRelayedHeader), "1");
  const Time peer_time{std::chrono::hours(7)};
  HttpResponse response{404, "{}"};
  response.headers[kPeerClockHeader] = FormatHeaderTime(peer_time);
  this->peer.responder(response);
  std::optional<Time> estimate;
  const auto until = this->clock.Now() + kPatience;
  while (!estimate && this->clock.Now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    estimate = this->relay.PeerTime(this->peer.address);
  }
  ASSERT_TRUE(estimate);
  EXPECT_GE(*estimate, peer_time);
  EXPECT_LT(*estimate, peer_time + kPatience);
}

// A late entry sends jobs to its peers, and not to one that has just refused.
TEST_F(JobRelayTest, ChoosesAPeerOnlyWhileEventsWaitHere) {
  this->relay.SetPeers({{this->peer.address, 0.5}});
  EXPECT_FALSE(this->relay.Choose(std::chrono::milliseconds(1)));
  bool chosen = false;
  const auto until = this->clock.Now() + kPatience;
  while (!chosen && this->clock.Now() < until) {
    chosen = this->relay.Choose(std::chrono::milliseconds(500)).has_value();
  }
  EXPECT_TRUE(chosen);
  this->relay.NoteResult(this->peer.address, JobRelay::PeerResult::kRefused);
  EXPECT_FALSE(this->relay.Choose(std::chrono::milliseconds(500)));
}

}  // namespace
}  // namespace quetzalvale
