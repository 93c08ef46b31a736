/// Fuzzing of the inner messages with a fixed corpus and seed.
#include <gtest/gtest.h>

#include <chrono>
#include <stdexcept>

#include "http/http_call.h"
#include "protocol/rpc_client.h"
#include "protocol/rpc_server.h"
#include "tests/protocol/sample_messages.h"
#include "tests/support/json_mutation.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

constexpr int kDecodeRuns = 1500;
constexpr int kCallRuns = 300;
constexpr int kTimeoutMs = 20000;
constexpr char kKey[] = "secret";

/// Decodes the message. What is accepted must survive encoding, transport as text and decoding.
void CheckDecoding(const MessageKind& kind, const Json::Value& json) {
  Json::Value first;
  try {
    first = kind.recode(json);
  } catch (const std::invalid_argument& refused) {
    RC_ASSERT(std::string(refused.what()).starts_with("message"));
    return;
  }
  const auto sent = ReadJson(WriteJson(first));
  RC_ASSERT(IsOk(sent));
  RC_ASSERT(kind.recode(std::get<Json::Value>(sent)) == first);
}

/// Guards against a field that the encoder or the decoder leaves out.
TEST(CodecFuzzTest, EveryMessageSurvivesTheRoundTrip) {
  for (const MessageKind& kind : AllMessageKinds()) {
    EXPECT_EQ(WriteJson(kind.recode(kind.valid)), WriteJson(kind.valid)) << kind.name;
  }
}

/// Guards against a peer's malformed message that ends the process or is read as another message.
TEST(CodecFuzzTest, MutatedMessagesAreRefusedOrSurviveTheRoundTrip) {
  for (const MessageKind& kind : AllMessageKinds()) {
    CheckWithFixedSeed(kind.name, kDecodeRuns,
                       [&kind] { CheckDecoding(kind, MutateValue(kind.valid)); });
  }
}

/// The same for faults in the text, below the structure.
TEST(CodecFuzzTest, MutatedTextIsRefusedOrSurvivesTheRoundTrip) {
  for (const MessageKind& kind : AllMessageKinds()) {
    const std::string valid = WriteJson(kind.valid);
    CheckWithFixedSeed(kind.name, kDecodeRuns, [&kind, &valid] {
      const auto json = ReadJson(MutateText(valid));
      if (IsOk(json)) {
        CheckDecoding(kind, std::get<Json::Value>(json));
      } else {
        RC_ASSERT(GetError(json).kind == ErrorKind::kMalformed);
      }
    });
  }
}

class RpcFuzzTest : public testing::Test {
 protected:
  RpcFuzzTest() : server(this->address, kKey) {
    for (const MessageKind& kind : this->kinds) {
      this->server.Register(kind.name, kind.recode);
    }
    EXPECT_TRUE(this->server.Start());
  }

  /// Whether the server still answers a valid message.
  bool Serves() {
    RpcClient client(this->address, kKey);
    const RpcReply reply = client.Call("start", this->kinds.front().valid, kTimeoutMs);
    return reply.outcome == RpcOutcome::kOk &&
           WriteJson(reply.result) == WriteJson(this->kinds.front().valid);
  }

  CallResult Post(const std::string& body) {
    CallRequest request;
    request.address = this->address;
    request.method = "POST";
    request.body = body;
    request.headers["X-Quetzalvale-Key"] = kKey;
    request.timeout = std::chrono::milliseconds(kTimeoutMs);
    return CallHttp(request);
  }

  const std::vector<MessageKind> kinds = AllMessageKinds();
  const std::string address = NextLoopbackAddress();
  RpcServer server;
};

/// Guards against parameters that end the server or leave the caller without a typed error.
TEST_F(RpcFuzzTest, MutatedParametersAreAnsweredOrRefused) {
  RpcClient client(this->address, kKey);
  CheckWithFixedSeed("parameters", kCallRuns, [this, &client] {
    const auto& kind = this->kinds.at(*rc::gen::inRange<std::size_t>(0, this->kinds.size()));
    const RpcReply reply = client.Call(kind.name, MutateValue(kind.valid), kTimeoutMs);
    RC_ASSERT(reply.outcome == RpcOutcome::kOk || reply.outcome == RpcOutcome::kRefused);
    RC_ASSERT(reply.outcome == RpcOutcome::kOk || !reply.message.empty());
  });
  EXPECT_TRUE(this->Serves());
}

/// Guards against bodies that are not JSON-RPC and end the server.
TEST_F(RpcFuzzTest, MutatedBodiesAreAnswered) {
  Json::Value call;
  call["jsonrpc"] = "2.0";
  call["id"] = 1;
  call["method"] = "seal";
  call["params"] = this->kinds.at(4).valid;
  const std::string valid = WriteJson(call);
  CheckWithFixedSeed("bodies", kCallRuns, [this, &valid, &call] {
    const bool structure = *rc::gen::arbitrary<bool>();
    const std::string body = structure ? WriteJson(MutateValue(call)) : MutateText(valid);
    RC_PRE(!body.empty());
    const CallResult result = this->Post(body);
    RC_ASSERT(IsOk(result));
  });
  for (const std::string& body :
       {std::string(100000, '['), std::string("[]"), std::string("[1,{}]"), std::string("null"),
        std::string("{\"jsonrpc\":\"2.0\",\"method\":\"seal\",\"params\":[1]}")}) {
    EXPECT_TRUE(IsOk(this->Post(body))) << body.substr(0, 80);
  }
  EXPECT_TRUE(this->Serves());
}

}  // namespace
}  // namespace quetzalvale
