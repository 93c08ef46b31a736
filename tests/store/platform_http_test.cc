#include <gtest/gtest.h>

#include <thread>

#include "protocol/codec.h"
#include "standin/platform_server.h"
#include "store/configuration_store.h"
#include "store/http_object_client.h"
#include "store/http_table_client.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kTimeout{60000};

class PlatformHttpTest : public testing::Test {
 protected:
  PlatformHttpTest() { EXPECT_EQ(this->server.Start(), ""); }
  ~PlatformHttpTest() override { this->server.Stop(); }

  void Control(const char* settings) {
    EXPECT_TRUE(IsOk(this->server.Faults().Change(std::get<Json::Value>(ReadJson(settings)))));
  }

  PlatformFailure FailureOfWrite(TableClient& client) {
    const auto result = client.Commit({{"t", "k", Json::Value(1), std::nullopt}});
    const auto* error = std::get_if<PlatformError>(&result);
    EXPECT_NE(error, nullptr);
    return error == nullptr ? PlatformFailure::kConflict : error->failure;
  }

  const std::string address = NextLoopbackAddress();
  const std::string url = "http://" + this->address;
  PlatformServer server{this->address};
  HttpTableClient client{this->url, kTimeout};
};

TEST_F(PlatformHttpTest, RowsAreWrittenReadScannedAndDeleted) {
  const std::string key = "a b/c%\xc3\xa9";
  const auto versions = this->client.Commit(
      {{"t", key, Json::Value("x"), 0}, {"t", "z", Json::Value(2), std::nullopt}});
  EXPECT_EQ(std::get<0>(versions), (std::vector<std::uint64_t>{1, 1}));
  const auto row = std::get<0>(this->client.Read("t", key));
  ASSERT_TRUE(row);
  EXPECT_EQ(row->value, "x");
  const auto rows = std::get<0>(this->client.Scan("t", "a b/", 10));
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0].key, key);
  this->client.Commit({{"t", key, Json::Value(), 1}});
  EXPECT_FALSE(std::get<0>(this->client.Read("t", key)));
}

// Taking one row's write of a refused transaction would leave a change without its audit row.
TEST_F(PlatformHttpTest, ConflictAppliesNothing) {
  this->client.Commit({{"t", "k", Json::Value(1), 0}});
  const auto result =
      this->client.Commit({{"t", "other", Json::Value(1), 0}, {"t", "k", Json::Value(2), 0}});
  EXPECT_EQ(std::get<PlatformError>(result).failure, PlatformFailure::kConflict);
  EXPECT_FALSE(std::get<PlatformError>(result).MaybeApplied());
  EXPECT_FALSE(this->server.Store().Read("t", "other"));
}

TEST_F(PlatformHttpTest, OutageAndRateAreNotApplied) {
  this->Control(R"({"outage": true})");
  EXPECT_EQ(this->FailureOfWrite(this->client), PlatformFailure::kRefused);
  this->Control(R"({"outage": false, "writes_per_second": 0})");
  EXPECT_EQ(this->FailureOfWrite(this->client), PlatformFailure::kRefused);
  EXPECT_FALSE(this->server.Store().Read("t", "k"));
}

TEST_F(PlatformHttpTest, LostAnswerIsUnknownAndTookEffect) {
  this->Control(R"({"lose_answers": 1})");
  EXPECT_EQ(this->FailureOfWrite(this->client), PlatformFailure::kUnknown);
  EXPECT_TRUE(this->server.Store().Read("t", "k"));
}

// A write that the client has given up on may still be applied later.
TEST_F(PlatformHttpTest, TimeoutIsUnknown) {
  this->Control(R"({"write_latency_ms": 600000})");
  HttpTableClient impatient(this->url, std::chrono::milliseconds(300));
  EXPECT_EQ(this->FailureOfWrite(impatient), PlatformFailure::kUnknown);
  EXPECT_FALSE(this->server.Store().Read("t", "k"));
  this->server.Stop();
  EXPECT_TRUE(this->server.Store().Read("t", "k"));
}

TEST_F(PlatformHttpTest, RefusedConnectionIsNotApplied) {
  this->server.Stop();
  EXPECT_EQ(this->FailureOfWrite(this->client), PlatformFailure::kNotConnected);
}

TEST_F(PlatformHttpTest, ObjectsAreStored) {
  HttpObjectClient objects(this->url, kTimeout);
  EXPECT_FALSE(std::get<0>(objects.Get("o/1")));
  EXPECT_FALSE(std::holds_alternative<PlatformError>(objects.Put("o/1", std::string("a\0b", 3))));
  EXPECT_EQ(std::get<0>(objects.Get("o/1")), std::string("a\0b", 3));
}

TEST_F(PlatformHttpTest, MalformedRequestsAreRefused) {
  HttpClient raw(this->url, kTimeout);
  for (const char* body : {"", "x", "[]", "{}", R"({"operations":[]})", R"({"operations":[7]})",
                           R"({"operations":[{"table":1,"key":"k"}]})",
                           R"({"operations":[{"table":"t","key":"k","expected_version":-1}]})"}) {
    OutgoingRequest request{.method = "POST", .target = "/v1/transactions", .body = body};
    const auto result = raw.SendAndWait(request);
    EXPECT_EQ(std::get<HttpResponse>(result).status, 400) << body;
  }
}

// Two changes on one base must not both be applied, whatever answers are lost meanwhile.
TEST_F(PlatformHttpTest, OfTwoWritersAtOnceExactlyOneWins) {
  constexpr int kRounds = 20;
  SystemClock clock;
  ConfigurationStore store(this->client, clock, kTimeout);
  for (int round = 0; round < kRounds; ++round) {
    this->Control(round % 2 == 0 ? R"({"lose_answers": 1})" : R"({"lose_answers": 0})");
    std::array<bool, 2> applied{};
    std::vector<std::thread> writers;
    for (int writer = 0; writer < 2; ++writer) {
      writers.emplace_back([&, writer] {
        ConfigurationChange change{.service = "shop", .base_version = std::uint64_t(round)};
        change.change_id = std::to_string(round) + "-" + std::to_string(writer);
        change.document["writer"] = writer;
        applied.at(writer) = IsOk(store.Apply(change));
      });
    }
    for (auto& writer : writers) {
      writer.join();
    }
    ASSERT_NE(applied[0], applied[1]) << round;
    const auto stored = this->server.Store().Read("configuration", "shop");
    EXPECT_EQ(stored->version, round + 1U);
    EXPECT_EQ(stored->value["writer"], applied[0] ? 0 : 1);
  }
}

TEST(RateLimitTest, HoldsOneSecondsWorth) {
  RateLimit limit(2);
  std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
  EXPECT_TRUE(limit.TryTake(now));
  EXPECT_TRUE(limit.TryTake(now));
  EXPECT_FALSE(limit.TryTake(now));
  now += std::chrono::milliseconds(500);
  EXPECT_TRUE(limit.TryTake(now));
  EXPECT_FALSE(limit.TryTake(now));
}

TEST(PlatformFaultsTest, UnknownSettingsChangeNothing) {
  PlatformFaults faults;
  for (const char* text : {R"({"outage": true, "colour": 1})", R"({"lose_answers": -1})",
                           R"({"outage": "yes"})", "[]", R"({"read_latency_ms": 1e300})"}) {
    EXPECT_FALSE(IsOk(faults.Change(std::get<Json::Value>(ReadJson(text))))) << text;
  }
  EXPECT_EQ(faults.Describe()["outage"], false);
}

}  // namespace
}  // namespace quetzalvale
