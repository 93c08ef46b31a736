#include "load/request_sender.h"

#include <cpprest/http_listener.h>
#include <gtest/gtest.h>

#include <future>

#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

using web::http::experimental::listener::http_listener;

class RequestSenderTest : public ::testing::Test {
 protected:
  LoadReply Send(const LoadRequest& request) {
    std::promise<LoadReply> reply;
    this->sender.Send(request, [&reply](LoadReply got) { reply.set_value(std::move(got)); });
    return reply.get_future().get();
  }

  RequestSender sender{std::chrono::seconds(30)};
};

TEST_F(RequestSenderTest, CarriesMethodTargetBodyAndStatus) {
  const std::string address = NextLoopbackAddress();
  http_listener listener("http://" + address);
  listener.support([](web::http::http_request request) {
    const std::string body = request.extract_utf8string(true).get();
    request.reply(429, request.method() + " " + request.request_uri().to_string() + " " + body);
  });
  listener.open().wait();
  const LoadReply reply = this->Send({address, "POST", "/v1/services/s/jobs", "{\"a\":1}"});
  EXPECT_EQ(reply.status, 429);
  EXPECT_EQ(reply.body, "POST /v1/services/s/jobs {\"a\":1}");
  EXPECT_EQ(this->Send({address, "DELETE", "/x", ""}).body, "DELETE /x ");
  listener.close().wait();
}

// A refused connection must end the call; a job would otherwise stay in progress for ever.
TEST_F(RequestSenderTest, ReportsARefusedConnection) {
  EXPECT_EQ(this->Send({"127.0.0.1:1", "GET", "/", ""}).status, 0);
}

}  // namespace
}  // namespace quetzalvale
