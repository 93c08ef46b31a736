/// The packed form of the inner messages, with a fixed corpus and seed.
#include "protocol/packed_codec.h"

#include <gtest/gtest.h>

#include <future>
#include <stdexcept>

#include "protocol/rpc_client.h"
#include "protocol/rpc_server.h"
#include "tests/protocol/sample_messages.h"
#include "tests/support/json_mutation.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

constexpr int kFuzzRuns = 1500;
constexpr char kKey[] = "secret";
constexpr int kTimeoutMs = 20000;

template <typename Message>
Message Filled() {
  Message message;
  FillVisitor fill;
  VisitFields(fill, message);
  return message;
}

/// Both encodings must carry the same fields, or a message would mean something else on one of
/// them.
template <typename Message>
void CheckRoundTrip(const char* name) {
  const auto message = Filled<Message>();
  const auto decoded = Unpack<Message>(Pack(message).bytes);
  EXPECT_EQ(WriteJson(Encode(decoded)), WriteJson(Encode(message))) << name;
}

TEST(PackedCodecTest, EveryMessageSurvivesTheRoundTrip) {
  CheckRoundTrip<StartRequest>("start");
  CheckRoundTrip<StartReply>("start reply");
  CheckRoundTrip<WithdrawRequest>("withdraw");
  CheckRoundTrip<WithdrawReply>("withdraw reply");
  CheckRoundTrip<SealRequest>("seal");
  CheckRoundTrip<SealReply>("seal reply");
  CheckRoundTrip<OutcomesRequest>("outcomes");
  CheckRoundTrip<OutcomesReply>("outcomes reply");
  CheckRoundTrip<Announce>("announce");
  CheckRoundTrip<AnnounceReply>("announce reply");
  CheckRoundTrip<Heartbeat>("heartbeat");
  CheckRoundTrip<Hello>("hello");
  CheckRoundTrip<ForwardRequest>("forward");
  CheckRoundTrip<ForwardReply>("forward reply");
  CheckRoundTrip<AnswerRequest>("answer");
  CheckRoundTrip<CancelRequest>("cancel");
  CheckRoundTrip<CancelledJobs>("cancelled_jobs");
  CheckRoundTrip<HandOver>("hand_over");
  CheckRoundTrip<Acknowledgement>("acknowledgement");
}

// Numbers at the ends of their ranges are the ones that a narrower wire type would cut.
TEST(PackedCodecTest, ExtremeNumbersSurvive) {
  OutcomesReply reply;
  reply.owner = {UINT64_MAX, 1};
  reply.configuration_version = UINT64_MAX;
  EXPECT_EQ(Unpack<OutcomesReply>(Pack(reply).bytes).owner, reply.owner);
  EXPECT_EQ(Unpack<OutcomesReply>(Pack(reply).bytes).configuration_version, UINT64_MAX);
  StartItem item = Filled<StartItem>();
  item.time_left = Milliseconds(-1);
  EXPECT_EQ(Unpack<StartItem>(Pack(item).bytes).time_left, Milliseconds(-1));
}

/// An array of `size` elements, which begins with an identity and goes on with what `rest` packs.
template <typename Rest>
std::string PackArray(std::uint32_t size, Rest rest) {
  std::string bytes;
  packed_detail::TextStream stream{bytes};
  packed_detail::Packer packer(stream);
  packer.pack_array(size);
  packed_detail::PackValue(packer, Incarnation{3, 4});
  rest(packer);
  return bytes;
}

// A newer process adds fields at the end; during a rolling replacement both versions talk.
TEST(PackedCodecTest, FieldsAtTheEndMayBeMissingOrUnknown) {
  const std::string shorter = PackArray(1, [](auto&) {});
  EXPECT_EQ(Unpack<OutcomesReply>(shorter).configuration_version, 0U);
  const std::string longer = PackArray(3, [](auto& packer) {
    packer.pack_uint64(7);
    packed_detail::PackValue(packer, std::string("a field of a later version"));
  });
  EXPECT_EQ(Unpack<OutcomesReply>(longer).configuration_version, 7U);
}

TEST(PackedCodecTest, WrongFieldIsNamed) {
  const std::string bytes =
      PackArray(2, [](auto& packer) { packed_detail::PackValue(packer, std::string("nonsense")); });
  try {
    Unpack<OutcomesReply>(bytes);
    FAIL() << "accepted a text as a version";
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(error.what(), "message.configuration_version must be a non-negative integer");
  }
}

// Tickets and texts end up in JSON answers, whose writer replaces such bytes.
TEST(PackedCodecTest, TextThatIsNotUtf8IsRefused) {
  SealRequest seal;
  seal.ticket = {"shop\xff", {1, 2}, 3, 4};
  EXPECT_THROW(Unpack<SealRequest>(Pack(seal).bytes), std::invalid_argument);
}

TEST(PackedCodecTest, EnumAndDurationOutOfRangeAreRefused) {
  StartReply reply;
  reply.decisions = {static_cast<StartRefusal>(99)};
  EXPECT_THROW(Unpack<StartReply>(Pack(reply).bytes), std::invalid_argument);
  StartItem item = Filled<StartItem>();
  item.time_left = Milliseconds(INT64_MAX);
  EXPECT_THROW(Unpack<StartItem>(Pack(item).bytes), std::invalid_argument);
}

/// Guards against a peer's malformed bytes that end the process or are read as another message.
template <typename Message>
void CheckMutated(const char* name) {
  const std::string valid = Pack(Filled<Message>()).bytes;
  CheckWithFixedSeed(name, kFuzzRuns, [&valid] {
    std::string first;
    try {
      first = Pack(Unpack<Message>(MutateText(valid))).bytes;
    } catch (const std::invalid_argument& refused) {
      RC_ASSERT(std::string(refused.what()).starts_with("message"));
      return;
    }
    RC_ASSERT(Pack(Unpack<Message>(first)).bytes == first);
  });
}

TEST(PackedCodecFuzzTest, MutatedBytesAreRefusedOrSurviveTheRoundTrip) {
  CheckMutated<StartRequest>("start");
  CheckMutated<StartReply>("start reply");
  CheckMutated<WithdrawReply>("withdraw reply");
  CheckMutated<OutcomesRequest>("outcomes");
  CheckMutated<Announce>("announce");
  CheckMutated<Hello>("hello");
  CheckMutated<ForwardRequest>("forward");
  CheckMutated<HandOver>("hand_over");
}

class PackedRpcTest : public testing::Test {
 protected:
  PackedRpcTest() : server(this->address, kKey) {
    this->server.RegisterMessage(
        "echo", [](const RpcParameters& parameters, const RpcResponder& responder) {
          responder.Reply(parameters.Read<CancelRequest>());
        });
    this->server.Register("plain", [](const Json::Value& parameters) { return parameters; });
    EXPECT_TRUE(this->server.Start());
  }

  PackedReply Call(const std::string& method, std::string bytes, const std::string& key = kKey) {
    RpcClient client(this->address, key);
    std::promise<PackedReply> promise;
    client.SendPacked(method, {std::move(bytes)}, std::chrono::milliseconds(kTimeoutMs),
                      [&promise](PackedReply reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
  }

  const std::string address = NextLoopbackAddress();
  RpcServer server;
};

TEST_F(PackedRpcTest, RepliesInTheEncodingOfTheCaller) {
  const CancelRequest message = Filled<CancelRequest>();
  const PackedReply packed = this->Call("echo", Pack(message).bytes);
  ASSERT_EQ(packed.outcome, RpcOutcome::kOk) << packed.message;
  EXPECT_EQ(Unpack<CancelRequest>(packed.result.bytes).ticket, message.ticket);
  RpcClient client(this->address, kKey);
  const RpcReply json = client.Call("echo", Encode(message), kTimeoutMs);
  ASSERT_EQ(json.outcome, RpcOutcome::kOk) << json.message;
  EXPECT_EQ(Decode<CancelRequest>(json.result).ticket, message.ticket);
}

TEST_F(PackedRpcTest, MalformedBytesUnknownCallsAndWrongKeysAreRefusedWithTheReason) {
  const PackedReply malformed = this->Call("echo", "\xc1");
  EXPECT_EQ(malformed.outcome, RpcOutcome::kRefused);
  EXPECT_NE(malformed.message.find("message must be"), std::string::npos) << malformed.message;
  const PackedReply unknown = this->Call("other", Pack(Filled<CancelRequest>()).bytes);
  EXPECT_EQ(unknown.outcome, RpcOutcome::kRefused);
  EXPECT_NE(unknown.message.find("no call is named other"), std::string::npos) << unknown.message;
  EXPECT_EQ(this->Call("plain", "\x90").outcome, RpcOutcome::kRefused);
  EXPECT_EQ(this->Call("echo", Pack(Filled<CancelRequest>()).bytes, "guess").outcome,
            RpcOutcome::kRefused);
}

}  // namespace
}  // namespace quetzalvale
