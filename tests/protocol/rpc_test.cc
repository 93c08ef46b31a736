#include <gtest/gtest.h>

#include <stdexcept>
#include <utility>

#include "http/http_call.h"
#include "protocol/rpc_client.h"
#include "protocol/rpc_server.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

constexpr char kKey[] = "secret";
constexpr int kTimeoutMs = 20000;

class RpcTest : public testing::Test {
 protected:
  RpcTest() : server(this->address, kKey) {
    this->server.Register("echo", [](const Json::Value& parameters) { return parameters; });
    this->server.Register("fail", [](const Json::Value&) -> Json::Value {
      throw std::invalid_argument("message.x must be an integer");
    });
    EXPECT_TRUE(this->server.Start());
  }

  static Json::Value Parameters() {
    Json::Value parameters;
    parameters["text"] = std::string(5000, 'x');
    return parameters;
  }

  const std::string address = NextLoopbackAddress();
  RpcServer server;
};

TEST_F(RpcTest, ReturnsTheResult) {
  RpcClient client(this->address, kKey);
  for (int i = 0; i < 3; ++i) {
    const RpcReply reply = client.Call("echo", Parameters(), kTimeoutMs);
    ASSERT_EQ(reply.outcome, RpcOutcome::kOk) << reply.message;
    EXPECT_EQ(reply.result, Parameters());
  }
}

TEST_F(RpcTest, MalformedParametersAreRefusedWithTheReason) {
  RpcClient client(this->address, kKey);
  const RpcReply reply = client.Call("fail", Parameters(), kTimeoutMs);
  EXPECT_EQ(reply.outcome, RpcOutcome::kRefused);
  EXPECT_NE(reply.message.find("message.x must be an integer"), std::string::npos) << reply.message;
}

// Without this check any process on the network could start tasks.
TEST_F(RpcTest, WrongKeyDoesNotReachTheHandler) {
  RpcClient client(this->address, "guess");
  EXPECT_NE(client.Call("echo", Parameters(), kTimeoutMs).outcome, RpcOutcome::kOk);
}

// The library's parser throws on deep nesting, which ended the process.
TEST_F(RpcTest, DeeplyNestedBodyIsRefused) {
  CallRequest request;
  request.address = this->address;
  request.method = "POST";
  request.body = std::string(100000, '[');
  request.headers["X-Quetzalvale-Key"] = kKey;
  const CallResult result = CallHttp(request);
  ASSERT_TRUE(IsOk(result)) << GetError(result).message;
  EXPECT_EQ(std::get<CallReply>(result).status, 400);
  RpcClient client(this->address, kKey);
  EXPECT_EQ(client.Call("echo", Parameters(), kTimeoutMs).outcome, RpcOutcome::kOk);
}

// The same fault in a peer's reply ended the caller.
TEST_F(RpcTest, DeeplyNestedReplyIsNotKnown) {
  this->server.Register("deep", [](const Json::Value&) {
    Json::Value deep;
    for (int level = 0; level < 2000; ++level) {
      Json::Value outer(Json::arrayValue);
      outer.append(deep);
      deep = std::move(outer);
    }
    return deep;
  });
  RpcClient client(this->address, kKey);
  EXPECT_EQ(client.Call("deep", Parameters(), kTimeoutMs).outcome, RpcOutcome::kUnknown);
}

TEST_F(RpcTest, StoppedServerIsReported) {
  this->server.Stop();
  RpcClient client(this->address, kKey);
  EXPECT_NE(client.Call("echo", Parameters(), kTimeoutMs).outcome, RpcOutcome::kOk);
}

TEST_F(RpcTest, AddressInUseFailsToStart) {
  RpcServer second("127.0.0.1:999999", kKey);
  EXPECT_FALSE(RpcServer("not an address", kKey).Start());
}

}  // namespace
}  // namespace quetzalvale
