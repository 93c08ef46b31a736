#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

#include "protocol/codec.h"
#include "settings/process_settings.h"
#include "settings/service_document.h"

namespace quetzalvale {
namespace {

Json::Value Parse(const char* text) { return std::get<Json::Value>(ReadJson(text)); }

Json::Value SmallDocument() {
  return Parse(R"({"service": "shop", "kinds": [{"name": "quote"}], "teams": [{"name": "web"}]})");
}

std::string ErrorsOf(const Json::Value& document) {
  const auto result = DecodeServiceDocument(document, "shop.json");
  return IsOk(result) ? "" : GetError(result).message;
}

Json::Value EntrySettings() {
  return Parse(R"({"role": "entry", "name": "e1", "data_centre": "Marka", "services": ["shop"],
    "caller_address": "127.0.0.1:8080", "inner_address": "127.0.0.1:8081",
    "platform": "http://127.0.0.1:7000", "shared_key": "k"})");
}

std::string SettingsErrorsOf(const Json::Value& document) {
  const auto result = DecodeProcessSettings(document, "e1.json");
  return IsOk(result) ? "" : GetError(result).message;
}

// A default that differs from the struct's would make entries and documentation disagree.
TEST(ServiceDocumentTest, OmittedMembersHaveTheDefaults) {
  const auto result = DecodeServiceDocument(SmallDocument(), "shop.json");
  ASSERT_TRUE(IsOk(result)) << GetError(result).message;
  const auto& configuration = std::get<ServiceConfiguration>(result);
  const ServiceConfiguration defaults;
  EXPECT_EQ(configuration.endpoints, defaults.endpoints);
  EXPECT_EQ(configuration.limits.tasks_per_job, defaults.limits.tasks_per_job);
  EXPECT_EQ(configuration.health.agent_dead, defaults.health.agent_dead);
  EXPECT_EQ(configuration.lease, defaults.lease);
  EXPECT_EQ(configuration.kinds.at(0).deadline, KindConfiguration().deadline);
}

TEST(ServiceDocumentTest, MembersReachTheirFields) {
  Json::Value document = SmallDocument();
  document["objective"] = "messages";
  document["placement"] = "power_of_two";
  document["batching"]["start_delay_us"] = 1500;
  document["tickets"]["valid_s"] = 60;
  document["teams"][0]["tasks_per_second"] = 12.5;
  document["endpoints"][0] = "saw-*";
  const auto result = DecodeServiceDocument(document, "shop.json");
  ASSERT_TRUE(IsOk(result)) << GetError(result).message;
  const auto& configuration = std::get<ServiceConfiguration>(result);
  EXPECT_EQ(configuration.objective, Objective::kMessages);
  EXPECT_EQ(configuration.placement, PlacementPolicy::kPowerOfTwo);
  EXPECT_EQ(configuration.batching.start_delay, Microseconds(1500));
  EXPECT_EQ(configuration.tickets.valid, std::chrono::seconds(60));
  EXPECT_EQ(configuration.teams.at(0).tasks_per_second, 12.5);
  EXPECT_EQ(configuration.endpoints, std::vector<std::string>{"saw-*"});
}

// An operator who sees one error at a time needs one attempt per error.
TEST(ServiceDocumentTest, AllErrorsAreListedWithPathAndRemedy) {
  Json::Value document = SmallDocument();
  document["colour"] = "red";
  document["kinds"][0]["urgency"] = -1;
  document["kinds"][1]["name"] = "quote";
  document["teams"][0].removeMember("name");
  document["limits"]["body_bytes"] = Json::UInt64(1) << 40U;
  document["placement"] = "best";
  document["lease_ms"] = "long";
  document["health"]["agent_lost_ms"] = 10000;
  const std::string errors = ErrorsOf(document);
  for (const char* part : {"shop.json: $.colour: is not a known member; remove it",
                           "shop.json: $.kinds[0].urgency: ", "set it to 0 (most urgent) to 1000",
                           "$.kinds[1].name: repeats the name quote", "$.teams[0].name: is missing",
                           "$.limits.body_bytes: ", "$.placement: ", "$.lease_ms: ",
                           "$.health.agent_lost_ms: is not below agent_dead_ms"}) {
    EXPECT_NE(errors.find(part), std::string::npos) << part << " not in:\n" << errors;
  }
  EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 7) << errors;
}

// Rarer heartbeats to agents that work than to idle ones would make live agents seem lost.
TEST(ServiceDocumentTest, HeartbeatIntervalsIncrease) {
  Json::Value document = SmallDocument();
  document["health"]["idle_heartbeat_ms"] = 999;
  EXPECT_NE(ErrorsOf(document).find("$.health.idle_heartbeat_ms: is below heartbeat_ms"),
            std::string::npos);
  document["health"]["idle_heartbeat_ms"] = 300001;
  EXPECT_NE(ErrorsOf(document).find("$.health.distant_heartbeat_ms: is below idle_heartbeat_ms"),
            std::string::npos);
  document["health"]["idle_heartbeat_ms"] = 1000;
  EXPECT_EQ(ErrorsOf(document), "");
}

// A lease that one late renewal outlasts stops healthy tasks.
TEST(ServiceDocumentTest, LeaseNeedsThreeHeartbeats) {
  Json::Value document = SmallDocument();
  document["lease_ms"] = 2999;
  EXPECT_NE(ErrorsOf(document).find("$.lease_ms: is shorter than three heartbeats"),
            std::string::npos);
  document["lease_ms"] = 3000;
  EXPECT_EQ(ErrorsOf(document), "");
}

TEST(ServiceDocumentTest, OtherJsonTypesAreErrors) {
  for (const char* text : {"null", "[]", "7", "\"x\"", "{}", "{\"service\": null}",
                           R"({"service":"s","kinds":{},"teams":[1],"health":[]})"}) {
    EXPECT_NE(ErrorsOf(Parse(text)), "") << text;
  }
}

TEST(ProcessSettingsTest, EntryIsLoadedFromItsFile) {
  const std::string path = testing::TempDir() + "entry_settings.json";
  std::ofstream(path) << WriteJson(EntrySettings());
  const auto result = LoadProcessSettings(path);
  ASSERT_TRUE(IsOk(result)) << GetError(result).message;
  const auto& settings = std::get<ProcessSettings>(result);
  EXPECT_EQ(settings.caller_address, "127.0.0.1:8080");
  EXPECT_EQ(settings.services, std::vector<std::string>{"shop"});
  EXPECT_EQ(settings.log_level, "info");
}

TEST(ProcessSettingsTest, UnreadableFileIsNamed) {
  const auto result = LoadProcessSettings("/nonexistent/e.json");
  ASSERT_FALSE(IsOk(result));
  EXPECT_NE(GetError(result).message.find("/nonexistent/e.json"), std::string::npos);
}

TEST(ProcessSettingsTest, AddressesAreChecked) {
  for (const char* address : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                              "127.0.0.1:80x", "::1:80", "", ":"}) {
    Json::Value document = EntrySettings();
    document["inner_address"] = address;
    EXPECT_NE(SettingsErrorsOf(document).find("e1.json: $.inner_address: is not an address"),
              std::string::npos)
        << address;
  }
}

// A default that is empty would make peers call no address at all.
TEST(ProcessSettingsTest, AdvertisedAddressDefaultsToTheInnerAddress) {
  Json::Value document = EntrySettings();
  const auto plain = DecodeProcessSettings(document, "e1.json");
  ASSERT_TRUE(IsOk(plain));
  EXPECT_EQ(std::get<ProcessSettings>(plain).advertised_address, "127.0.0.1:8081");
  document["advertised_address"] = "127.0.0.1:9081";
  const auto relayed = DecodeProcessSettings(document, "e1.json");
  ASSERT_TRUE(IsOk(relayed));
  EXPECT_EQ(std::get<ProcessSettings>(relayed).advertised_address, "127.0.0.1:9081");
  EXPECT_EQ(std::get<ProcessSettings>(relayed).inner_address, "127.0.0.1:8081");
}

// Without this check an agent starts, announces itself to nobody and logs nothing.
TEST(ProcessSettingsTest, RoleDecidesWhatIsRequired) {
  Json::Value document = EntrySettings();
  document["role"] = "agent";
  const std::string errors = SettingsErrorsOf(document);
  for (const char* part : {"$.service:", "$.endpoint:", "$.entries:", "$.worker:"}) {
    EXPECT_NE(errors.find(part), std::string::npos) << part;
  }
}

TEST(ProcessSettingsTest, TokenHashesMustBeSha256) {
  Json::Value document = EntrySettings();
  document["administrators"][0]["name"] = "ana";
  document["administrators"][0]["token_sha256"] = "secret";
  EXPECT_NE(SettingsErrorsOf(document).find("$.administrators[0].token_sha256: "),
            std::string::npos);
  document["administrators"][0]["token_sha256"] = std::string(64, 'a');
  EXPECT_EQ(SettingsErrorsOf(document), "");
}

// std::regex recurses once per character; a long URL overflowed the stack.
// Only the programs of the users' platform read the limits of connections.
TEST(ProcessSettingsTest, LimitsOfConnectionsAreReadAndChecked) {
  Json::Value document = EntrySettings();
  document["limits"]["connections"] = 100;
  document["limits"]["idle_ms"] = 1500;
  const auto result = DecodeProcessSettings(document, "e1.json");
  ASSERT_TRUE(IsOk(result));
  const HttpLimits& limits = std::get<ProcessSettings>(result).limits;
  EXPECT_EQ(limits.connections, 100U);
  EXPECT_EQ(limits.idle, std::chrono::milliseconds(1500));
  EXPECT_EQ(limits.header, HttpLimits().header);
  document["limits"]["connections"] = 1;
  document["limits"]["typo"] = 1;
  EXPECT_NE(SettingsErrorsOf(document).find("$.limits.connections: "), std::string::npos);
  EXPECT_NE(SettingsErrorsOf(document).find("typo"), std::string::npos);
}

TEST(ProcessSettingsTest, LongUrlIsRefused) {
  Json::Value document = EntrySettings();
  document["platform"] = "http://" + std::string(1000000, 'x');
  EXPECT_NE(SettingsErrorsOf(document).find("$.platform"), std::string::npos);
}

// A line break in a name made one error look like two, the second without a path.
TEST(ServiceDocumentTest, NamesWithLineBreaksStayOnOneLine) {
  Json::Value document = SmallDocument();
  document["a\nb"] = 1;
  const std::string errors = ErrorsOf(document);
  EXPECT_NE(errors.find("$.a?b"), std::string::npos) << errors;
  EXPECT_EQ(errors.find('\n'), std::string::npos) << errors;
}

// A configuration of 1,742 routes was refused as invalid, so that entries that started with it
// served nothing.
TEST(ServiceDocumentTest, TakesThousandsOfKinds) {
  Json::Value document;
  document["service"] = "shop";
  document["teams"][0]["name"] = "desk";
  for (int kind = 0; kind < 2000; ++kind) {
    document["kinds"][kind]["name"] = "k" + std::to_string(kind);
  }
  const auto decoded = DecodeServiceDocument(document, "test");
  ASSERT_TRUE(IsOk(decoded)) << GetError(decoded).message;
  EXPECT_EQ(std::get<ServiceConfiguration>(decoded).kinds.size(), 2000U);
}

}  // namespace
}  // namespace quetzalvale
