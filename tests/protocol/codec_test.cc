#include "protocol/codec.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace quetzalvale {
namespace {

StartRequest SampleStart() {
  StartRequest request;
  request.owner = {1, 2};
  request.owner_address = "127.0.0.1:7101";
  request.agent = {3, 4};
  request.channel_sequence = 5;
  request.lease = Milliseconds(3000);
  StartItem item;
  item.task = {{"service", {1, 2}, 9, 1}, 3};
  item.kind = "quote";
  item.spec.payload = R"({"a":[1,2]})";
  item.spec.cores = 0.5;
  item.time_left = Milliseconds(-1);
  request.items.push_back(item);
  return request;
}

TEST(CodecTest, MessageSurvivesTheRoundTrip) {
  const Json::Value json = Encode(SampleStart());
  const auto text = ReadJson(WriteJson(json));
  ASSERT_TRUE(IsOk(text));
  const auto decoded = Decode<StartRequest>(std::get<0>(text));
  EXPECT_EQ(WriteJson(Encode(decoded)), WriteJson(json));
  EXPECT_EQ(decoded.items.at(0).task, SampleStart().items.at(0).task);
  EXPECT_EQ(decoded.items.at(0).time_left, Milliseconds(-1));
}

TEST(CodecTest, HelloKeepsDemandByServiceAndTeam) {
  Hello hello;
  hello.demand[{"service", "desk"}] = 12.5;
  hello.configuration_versions["service"] = 1ULL << 40;
  const auto decoded = Decode<Hello>(Encode(hello));
  EXPECT_EQ(decoded.demand, hello.demand);
  EXPECT_EQ(decoded.configuration_versions, hello.configuration_versions);
}

// An entry that reads no free accelerators sends the agent none of the tasks that need them.
TEST(CodecTest, LoadKeepsItsFreeResources) {
  StartReply reply;
  reply.load.free_cores = 1.5;
  reply.load.free_memory_mb = 1LL << 40;
  reply.load.free_accelerators = 3;
  const auto decoded = Decode<StartReply>(Encode(reply));
  EXPECT_EQ(decoded.load.free_cores, 1.5);
  EXPECT_EQ(decoded.load.free_memory_mb, 1LL << 40);
  EXPECT_EQ(decoded.load.free_accelerators, 3);
}

// A field of the wrong type from a faulty peer must be refused by name, not read as zero.
TEST(CodecTest, WrongFieldIsNamed) {
  Json::Value json = Encode(SampleStart());
  json["items"][0]["task"] = "nonsense";
  try {
    Decode<StartRequest>(json);
    FAIL() << "accepted a malformed task key";
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(error.what(), "message.items[0].task must be an identity in its text form");
  }
}

// The JSON writer replaces such bytes, so the ticket would reach the next process as another one.
TEST(CodecTest, TextThatIsNotUtf8IsRefused) {
  SealRequest seal;
  seal.ticket = {"shop\xff", {1, 2}, 3, 4};
  EXPECT_THROW(Decode<SealRequest>(Encode(seal)), std::invalid_argument);
  Hello hello;
  hello.configuration_versions["shop\xff"] = 1;
  EXPECT_THROW(Decode<Hello>(Encode(hello)), std::invalid_argument);
}

// A time left of this length overflowed when it was added to the present time.
TEST(CodecTest, DurationBeyondAnyUseIsRefused) {
  Json::Value json = Encode(SampleStart());
  json["items"][0]["time_left_ms"] = Json::Int64{INT64_MAX};
  EXPECT_THROW(Decode<StartRequest>(json), std::invalid_argument);
}

TEST(CodecTest, EnumOutOfRangeIsRefused) {
  StartReply reply;
  reply.decisions = {StartRefusal::kBusy};
  Json::Value json = Encode(reply);
  json["decisions"][0] = 99;
  EXPECT_THROW(Decode<StartReply>(json), std::invalid_argument);
}

TEST(CodecTest, MalformedJsonIsAnError) {
  EXPECT_FALSE(IsOk(ReadJson("{\"a\":")));
  EXPECT_FALSE(IsOk(ReadJson(std::string(100000, '['))));
  EXPECT_TRUE(IsOk(ReadJson("3")));
}

}  // namespace
}  // namespace quetzalvale
