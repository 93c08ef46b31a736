/// Fuzzing of the decoders of the users' platform with a fixed corpus and seed. A message of
/// another writer may have any form; it must be decoded or refused, and never end the process.
#include <gtest/gtest.h>

#include "platform/wire.h"
#include "tests/support/json_mutation.h"

namespace quetzalvale::platform {
namespace {

constexpr int kRuns = 10000;

const QueueRoute kRoute{"r-1", "h.example", "/q/", "svc", 1, Milliseconds(1500), 2, 1.6, {}};

Json::Value Parse(const char* text) { return std::get<Json::Value>(ReadJson(text)); }

/// Calls `decode` with mutated forms of the message, as a value and as text.
template <typename Decode>
void Fuzz(const std::string& name, const char* message, const Decode& decode) {
  const Json::Value valid = Parse(message);
  CheckWithFixedSeed(name + " values", kRuns, [&] { decode(WriteJson(MutateValue(valid))); });
  CheckWithFixedSeed(name + " texts", kRuns, [&] { decode(MutateText(message)); });
}

TEST(WireFuzzTest, Jobs) {
  Fuzz("job",
       R"({"spec":"x","best_effort":true,"steps":[{"count":2,"cpu":500,"mem_mb":256,"est_ms":90,)"
       R"("data_rack":"r1-3","gpu":0}]})",
       [](const std::string& text) {
         const auto job = DecodeJob(kRoute, "5c0e7a21d94b36f8", text, 100000);
         if (IsOk(job)) {
           RC_ASSERT(!std::get<Submission>(job).tasks.empty());
         }
       });
}

TEST(WireFuzzTest, WorkerReports) {
  Fuzz("worker report",
       R"({"service":"s","addr":"a:1","zone":"z","version":"v1","slots":8,"state":"ready",)"
       R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":5,"seq":4})",
       [](const std::string& text) {
         const auto report = DecodeWorkerReport("i-1", text);
         if (IsOk(report)) {
           RC_ASSERT(std::get<WorkerReport>(report).capacity.cores > 0);
           RC_ASSERT(std::get<WorkerReport>(report).capacity.memory_mb > 0);
         }
         DecodeStartedAt(text);
       });
}

TEST(WireFuzzTest, WorkerSnapshots) {
  Fuzz("worker snapshot",
       R"({"clock_ms":42,"born":7,"running":[["t.0.0.1",2,"",1,0]],"ended":[[1,"v",3,"done",""]]})",
       [](const std::string& text) {
         DecodeWorkerSnapshot(text);
         DecodeStartRejection(text);
       });
}

TEST(WireFuzzTest, StoreRows) {
  Fuzz("store rows",
       R"({"ver":9,"rows":[{"key":"a","value":"bm9kZS0x","ver":3},{"key":"c","removed":true}]})",
       [](const std::string& text) {
         int unreadable = 0;
         DecodeStoreRows(text, &unreadable);
       });
}

TEST(WireFuzzTest, OperatorConfigurations) {
  Fuzz("operator configuration",
       R"({"version":7,"limits":{"max_body_bytes":262144},"routes":[{"name":"r-1","host":"a",)"
       R"("prefix":"/p/","service":"s1","timeout_ms":1500,"slo_ms":60,"priority":2,)"
       R"("max_attempts":2,"stretch":1.6}]})",
       [](const std::string& text) {
         const auto configuration = DecodeOperatorConfiguration(text);
         if (IsOk(configuration)) {
           ServiceDocuments(std::get<OperatorConfiguration>(configuration), Milliseconds(1000), 3);
         }
       });
}

TEST(WireFuzzTest, TaskPayloads) {
  Fuzz("task payload", R"({"task":"t","spec":"x"})",
       [](const std::string& text) { DecodeTaskPayload(text); });
}

}  // namespace
}  // namespace quetzalvale::platform
