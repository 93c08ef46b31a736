/// Fuzzing of process settings and service documents with a fixed corpus and seed.
#include <gtest/gtest.h>

#include <sstream>

#include "settings/process_settings.h"
#include "settings/service_document.h"
#include "tests/support/json_mutation.h"

namespace quetzalvale {
namespace {

constexpr int kRuns = 3000;

Json::Value ParseValid(const char* text) { return std::get<Json::Value>(ReadJson(text)); }

Json::Value FullServiceDocument() {
  return ParseValid(R"({"service": "shop", "objective": "messages", "endpoints": ["saw-*"],
    "kinds": [{"name": "quote", "urgency": 1, "deadline_ms": 900, "expected_ms": 50}],
    "teams": [{"name": "web", "tasks_per_second": 12.5}],
    "worker_limits": {"cores": 16, "memory_mb": 1024, "accelerators": 0},
    "limits": {"tasks_per_job": 440, "body_bytes": 100000, "queued_tasks": 1000},
    "placement": "random", "batching": {"start_delay_us": 1, "outcome_delay_ms": 1, "batch_tasks": 8},
    "tickets": {"block": 64, "valid_s": 60, "answers_kept": 10, "answer_kept_s": 60},
    "health": {"heartbeat_ms": 100, "agent_lost_ms": 1000, "agent_dead_ms": 3000, "eject_after": 3,
      "probe_after_ms": 100},
    "lease_ms": 600, "agent_queue": 2, "retry_share": 0.1, "subset_size": 16, "overload": {"select": true}})");
}

std::vector<Json::Value> FullProcessSettings() {
  return {
      ParseValid(R"({"role": "entry", "name": "e1", "data_centre": "Marka", "services": ["shop"],
            "caller_address": "127.0.0.1:8080", "inner_address": "127.0.0.1:8081",
            "advertised_address": "127.0.0.1:8082", "platform": "http://127.0.0.1:7000",
            "entries": ["127.0.0.1:8083"], "shared_key": "k", "log_level": "debug",
            "administrators": [{"name": "a", "token_sha256":
              "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}]})"),
      ParseValid(R"({"role": "agent", "name": "a1", "data_centre": "Marka", "service": "shop",
            "inner_address": "127.0.0.1:8081", "platform": "http://127.0.0.1:7000",
            "entries": ["127.0.0.1:8083"], "shared_key": "k", "endpoint": "http://127.0.0.1:9000",
            "worker": {"slots": 8, "connections": 64, "cores": 16.5, "memory_mb": 1024,
              "accelerators": 1}})")};
}

/// Every line of the error must be `source: $path: problem; remedy`.
void CheckError(const Error& error) {
  RC_ASSERT(error.kind == ErrorKind::kInvalidSettings);
  std::istringstream lines(error.message);
  std::string line;
  int count = 0;
  while (std::getline(lines, line)) {
    ++count;
    RC_ASSERT(line.starts_with("file.json: $"));
    const std::size_t problem = line.find(": ", std::string("file.json: ").size());
    RC_ASSERT(problem != std::string::npos);
    const std::size_t remedy = line.find("; ", problem);
    RC_ASSERT(remedy != std::string::npos);
    RC_ASSERT(remedy + 2 < line.size());
  }
  RC_ASSERT(count > 0);
}

/// Guards against documents that end an entry, or errors from which an operator cannot see what to
/// change.
TEST(SettingsFuzzTest, MutatedServiceDocumentsAreTakenOrRefusedWithPathAndRemedy) {
  const Json::Value valid = FullServiceDocument();
  ASSERT_TRUE(IsOk(DecodeServiceDocument(valid, "file.json")));
  CheckWithFixedSeed("service documents", kRuns, [&valid] {
    const auto result = DecodeServiceDocument(MutateValue(valid), "file.json");
    if (!IsOk(result)) {
      CheckError(GetError(result));
    }
  });
}

/// The same for a process that starts with broken settings.
TEST(SettingsFuzzTest, MutatedProcessSettingsAreTakenOrRefusedWithPathAndRemedy) {
  for (const Json::Value& valid : FullProcessSettings()) {
    ASSERT_TRUE(IsOk(DecodeProcessSettings(valid, "file.json")));
    CheckWithFixedSeed("process settings", kRuns, [&valid] {
      const auto result = DecodeProcessSettings(MutateValue(valid), "file.json");
      if (!IsOk(result)) {
        CheckError(GetError(result));
      }
    });
  }
}

/// Guards against faults of the text that get past the parser.
TEST(SettingsFuzzTest, MutatedTextIsTakenOrRefusedWithPathAndRemedy) {
  const std::string valid = WriteJson(FullServiceDocument());
  CheckWithFixedSeed("texts", kRuns, [&valid] {
    const auto json = ReadJson(MutateText(valid));
    if (!IsOk(json)) {
      RC_ASSERT(!GetError(json).message.empty());
      return;
    }
    const auto result = DecodeServiceDocument(std::get<Json::Value>(json), "file.json");
    if (!IsOk(result)) {
      CheckError(GetError(result));
    }
  });
}

}  // namespace
}  // namespace quetzalvale
