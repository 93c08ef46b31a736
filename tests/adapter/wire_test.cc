#include "platform/wire.h"

#include <gtest/gtest.h>

#include <set>

#include "protocol/codec.h"
#include "settings/service_document.h"

namespace quetzalvale::platform {
namespace {

const QueueRoute kRoute{"r-1", "h.example", "/q/",           "svc", 1, Milliseconds(1500),
                        2,     1.6,         Milliseconds(60)};
constexpr char kName[] = "5c0e7a21d94b36f8";
constexpr std::uint32_t kMaxTasks = 440;

template <typename T>
ErrorKind KindOf(const Result<T>& result) {
  return IsOk(result) ? ErrorKind::kInternal : GetError(result).kind;
}

TEST(WireTest, DecodesAJobAndNamesItsTasks) {
  const auto decoded = DecodeJob(
      kRoute, kName,
      R"({"spec":"a \"b\"","best_effort":true,"steps":[{"count":2,"cpu":500,"mem_mb":256,"est_ms":90}]})",
      kMaxTasks);
  ASSERT_TRUE(IsOk(decoded));
  const auto& job = std::get<Submission>(decoded);
  EXPECT_EQ(job.name, kName);
  EXPECT_EQ(job.kind, "r-1");
  ASSERT_EQ(job.tasks.size(), 2U);
  EXPECT_DOUBLE_EQ(job.tasks[1].cores, 0.5);
  EXPECT_EQ(job.tasks[1].memory_mb, 256);
  EXPECT_EQ(job.tasks[1].declared_run_time, Milliseconds(90));
  const auto task_payload = DecodeTaskPayload(job.tasks[1].payload + job.payload_tail);
  ASSERT_TRUE(IsOk(task_payload));
  EXPECT_EQ(std::get<TaskPayload>(task_payload).task, std::string(kName) + ".0.0.1");
  EXPECT_EQ(std::get<TaskPayload>(task_payload).spec, "a \"b\"");
}

// A job that must be kept would be lost if it were answered 2xx without being stored.
TEST(WireTest, UnsupportedJobsAreDistinguishedFromMalformedOnes) {
  const auto kind = [](const char* body) {
    return KindOf(DecodeJob(kRoute, kName, body, kMaxTasks));
  };
  EXPECT_EQ(kind(R"({"spec":"x","steps":[{"count":1}]})"), ErrorKind::kNotReady);
  EXPECT_EQ(kind(R"({"best_effort":true,"steps":[{"count":1},{"count":1,"after":[0]}]})"),
            ErrorKind::kNotReady);
  EXPECT_EQ(kind(R"({"best_effort":true,"steps":[{"count":2,"gang":true}]})"),
            ErrorKind::kNotReady);
  EXPECT_EQ(kind(R"({"best_effort":true,"steps":[{"count":0}]})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind(R"({"best_effort":true,"steps":"all"})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind("not json"), ErrorKind::kMalformed);
}

// The whole document was refused, so the entry kept its old kinds beside the new routes and
// answered their jobs 503.
TEST(WireTest, NamesOfQueuesThatAreNoNamesOfKindsAreReplaced) {
  const auto decoded = DecodeOperatorConfiguration(
      R"({"version":7,"routes":[
        {"name":"r-1","host":"a","prefix":"/p/","service":"s"},
        {"name":"r-1","host":"a","prefix":"/q/","service":"s"},
        {"name":"r-1","host":"a","prefix":"/q/","service":"s"},
        {"name":"r-1","host":"a","prefix":"/q/","service":"s"},
        {"name":"lagerf\u00f6rd 1","host":"a","prefix":"/r/","service":"s"},
        {"name":"r-1","host":"a","prefix":"/s/","service":"t"}]})");
  ASSERT_TRUE(IsOk(decoded));
  const auto& configuration = std::get<OperatorConfiguration>(decoded);
  ASSERT_EQ(configuration.routes.size(), 6U);
  EXPECT_EQ(configuration.routes[0].name, "r-1");
  EXPECT_EQ(configuration.routes[5].name, "r-1");
  std::set<std::string> names;
  for (std::size_t i = 0; i < 5; ++i) {
    names.insert(configuration.routes[i].name);
  }
  EXPECT_EQ(names.size(), 5U);
  for (const auto& [service, document] : ServiceDocuments(configuration, Milliseconds(1000), 3)) {
    const auto parsed = DecodeServiceDocument(document, service);
    EXPECT_TRUE(IsOk(parsed)) << service << ": " << GetError(parsed).message;
  }
}

TEST(WireTest, ConfigurationBecomesValidServiceDocuments) {
  const auto decoded = DecodeOperatorConfiguration(
      R"({"version":7,"limits":{"max_body_bytes":262144},"routes":[
        {"name":"r-1","host":"a","prefix":"/p/","service":"s1","timeout_ms":1500,"slo_ms":60,
         "priority":2,"max_attempts":2,"stretch":1.6,"unknown":[1]},
        {"name":"broken","prefix":7},
        {"name":"r-2","host":"a","prefix":"/q/","service":"s2"}]})");
  ASSERT_TRUE(IsOk(decoded));
  const auto& configuration = std::get<OperatorConfiguration>(decoded);
  EXPECT_EQ(configuration.version, 7U);
  ASSERT_EQ(configuration.routes.size(), 2U);
  const auto documents = ServiceDocuments(configuration, Milliseconds(1000), 3);
  ASSERT_EQ(documents.size(), 2U);
  for (const auto& [service, document] : documents) {
    const auto process_settings = DecodeServiceDocument(document, service);
    ASSERT_TRUE(IsOk(process_settings)) << GetError(process_settings).message;
  }
  const auto first = std::get<0>(DecodeServiceDocument(documents.at("s1"), "s1"));
  EXPECT_FALSE(first.overload.select) << "all its routes have the same priority";
  ASSERT_NE(first.FindKind("r-1"), nullptr);
  EXPECT_EQ(first.FindKind("r-1")->urgency, 2);
  EXPECT_EQ(first.FindKind("r-1")->attempts, 2U);
  EXPECT_EQ(first.FindKind("r-1")->target_slack, Milliseconds(60));
}

// Jobs are selected by what their callers lose only where the operators say that it differs.
TEST(WireTest, ServiceWithRoutesOfDifferentPrioritySelectsJobsInAnOverload) {
  const auto decoded = DecodeOperatorConfiguration(
      R"({"version":7,"routes":[
        {"name":"r-1","host":"a","prefix":"/p/","service":"s1","priority":2},
        {"name":"r-2","host":"a","prefix":"/q/","service":"s1","priority":0},
        {"name":"r-3","host":"a","prefix":"/r/","service":"s2","priority":1},
        {"name":"r-4","host":"a","prefix":"/s/","service":"s2","priority":1}]})");
  const auto documents =
      ServiceDocuments(std::get<OperatorConfiguration>(decoded), Milliseconds(1000), 3);
  const auto select = [&](const std::string& service) {
    return std::get<0>(DecodeServiceDocument(documents.at(service), service)).overload.select;
  };
  EXPECT_TRUE(select("s1"));
  EXPECT_FALSE(select("s2"));
}

TEST(WireTest, RejectsMalformedWorkerReports) {
  const auto kind = [](const char* body) { return KindOf(DecodeWorkerReport("i-1", body)); };
  EXPECT_EQ(kind(R"({"service":"s","state":"resting","capacity":{}})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind(R"({"service":5,"state":"ready","capacity":{}})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind(R"({"service":"s","state":"ready"})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind("[]"), ErrorKind::kMalformed);
  EXPECT_EQ(kind("\xff\xfe"), ErrorKind::kMalformed);
  const auto report = DecodeWorkerReport(
      "i-1",
      R"({"service":"s","state":"draining","born":5,"seq":9,"capacity":{"cpu":16000,"mem_mb":8}})");
  ASSERT_TRUE(IsOk(report));
  EXPECT_TRUE(std::get<WorkerReport>(report).draining);
  EXPECT_DOUBLE_EQ(std::get<WorkerReport>(report).capacity.cores, 16);
}

TEST(WireTest, SnapshotOmitsMalformedItems) {
  const auto decoded = DecodeWorkerSnapshot(
      R"({"clock_ms":42,"running":[["t",2,"",1],["u"],5],"ended":[[1,"v",3,"done",""],[2,"w",1,"lapsed",""],["x"]]})");
  ASSERT_TRUE(IsOk(decoded));
  const auto& snapshot = std::get<WorkerSnapshot>(decoded);
  EXPECT_EQ(snapshot.clock, Milliseconds(42));
  EXPECT_EQ(snapshot.running, (std::vector<RunId>{{"t", 2}}));
  ASSERT_EQ(snapshot.ended.size(), 2U);
  EXPECT_EQ(snapshot.ended[0].end_state, RunEnd::kDone);
  EXPECT_EQ(snapshot.ended[1].end_state, RunEnd::kInterrupted);
}

// The key of a row may say enough, so a row whose value is unreadable is kept and marked.
TEST(WireTest, RowsRoundTripAndUnreadableOnesAreCountedAndMarked) {
  int unreadable = 0;
  const auto decoded = DecodeStoreRows(
      R"({"ver":9,"rows":[{"key":"a","value":"bm9kZS0x","ver":3},{"key":"b","value":"*","ver":4},
          {"key":"c","removed":true,"ver":5}]})",
      &unreadable);
  ASSERT_TRUE(IsOk(decoded));
  const auto& rows = std::get<StoreRows>(decoded);
  EXPECT_EQ(unreadable, 1);
  ASSERT_EQ(rows.rows.size(), 3U);
  EXPECT_EQ(rows.rows[0].value, "node-1");
  EXPECT_FALSE(rows.rows[0].unreadable);
  EXPECT_EQ(rows.rows[1].key, "b");
  EXPECT_TRUE(rows.rows[1].unreadable);
  EXPECT_TRUE(rows.rows[1].value.empty());
  EXPECT_TRUE(rows.rows[2].removed);
  EXPECT_FALSE(rows.rows[2].unreadable);
  const auto written = ReadJson(EncodeRowWrite("entries", "k", "node-1", 3));
  ASSERT_TRUE(IsOk(written));
  const auto& body = std::get<Json::Value>(written);
  EXPECT_EQ(body["writes"][0]["value"].asString(), "bm9kZS0x");
  EXPECT_EQ(body["expect"][0]["ver"].asUInt64(), 3U);
}

// A worker without limits would be sent everything: a report whose capacity cannot be read names no
// worker to use.
TEST(WireTest, ReportWithoutReadableCapacityIsRejected) {
  const auto kind = [](const std::string& capacity) {
    return KindOf(DecodeWorkerReport(
        "i-1", R"({"service":"s","state":"ready","born":5,"seq":9,"capacity":)" + capacity + "}"));
  };
  EXPECT_EQ(kind(R"({"mem_mb":8})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind(R"({"cpu":"many","mem_mb":8})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind(R"({"cpu":-5,"mem_mb":8})"), ErrorKind::kMalformed);
  EXPECT_EQ(kind(R"({"cpu":5,"mem_mb":8,"gpu":-1})"), ErrorKind::kMalformed);
}

TEST(WireTest, DecodesTheRackOfAWorkerAndOfAJobsData) {
  const auto report = DecodeWorkerReport(
      "i-1",
      R"({"service":"s","state":"ready","capacity":{"cpu":16000,"mem_mb":8},"labels":["a",7,"r1-3"]})");
  ASSERT_TRUE(IsOk(report));
  EXPECT_EQ(std::get<WorkerReport>(report).labels, (std::vector<std::string>{"a", "r1-3"}));
  const auto job = DecodeJob(
      kRoute, kName,
      R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":500,"data_rack":"r1-3"}]})",
      kMaxTasks);
  ASSERT_TRUE(IsOk(job));
  EXPECT_EQ(std::get<Submission>(job).data_rack, "r1-3");
}

// A request of a few kilobytes could use up the memory of the process: each of its tasks carries a
// copy of the specification.
TEST(WireTest, JobThatNeedsTooMuchMemoryIsNotServed) {
  const std::string spec(4000, 'x');
  EXPECT_EQ(KindOf(DecodeJob(kRoute, kName,
                             R"({"spec":")" + spec +
                                 R"(","best_effort":true,"steps":[{"count":100000,"cpu":5}]})",
                             100000)),
            ErrorKind::kNotReady);
}

// Every task of a job held the specification, so that a request of 4 KB became 1.8 MB (review/15).
TEST(WireTest, SpecificationIsHeldOnce) {
  const std::string spec(4000, 'x');
  const auto decoded =
      DecodeJob(kRoute, kName,
                R"({"spec":")" + spec + R"(","best_effort":true,"steps":[{"count":440,"cpu":5}]})",
                kMaxTasks);
  ASSERT_TRUE(IsOk(decoded));
  std::size_t bytes = std::get<Submission>(decoded).payload_tail.size();
  for (const TaskSpec& task : std::get<Submission>(decoded).tasks) {
    bytes += task.payload.size();
  }
  EXPECT_LT(bytes, spec.size() + 440 * 40);
}

// A list of 100,000 tasks was built before the limit of the service was asked (review/15).
TEST(WireTest, JobWithTooManyTasksIsRefusedBeforeItsTasksAreBuilt) {
  const auto decode = [](std::uint32_t count) {
    return DecodeJob(
        kRoute, kName,
        R"({"spec":"x","best_effort":true,"steps":[{"count":)" + std::to_string(count) + "}]}",
        kMaxTasks);
  };
  EXPECT_EQ(KindOf(decode(kMaxTasks + 1)), ErrorKind::kTooManyTasks);
  EXPECT_EQ(KindOf(decode(100000)), ErrorKind::kTooManyTasks);
  const auto largest = decode(kMaxTasks);
  ASSERT_TRUE(IsOk(largest));
  EXPECT_EQ(std::get<Submission>(largest).tasks.size(), kMaxTasks);
}

// Each start carries the specification, so a few jobs with one of a megabyte took more than the
// memory of an entry.
TEST(WireTest, SpecificationIsBounded) {
  const auto decode = [](const std::string& spec) {
    return DecodeJob(kRoute, kName,
                     R"({"spec":")" + spec + R"(","best_effort":true,"steps":[{"count":1}]})",
                     kMaxTasks);
  };
  std::string escaped;
  for (int i = 0; i < 4000; ++i) escaped += "\\u0001";
  EXPECT_TRUE(IsOk(decode(escaped))) << "the longest that a caller may send";
  EXPECT_EQ(KindOf(decode(std::string(25000, 'x'))), ErrorKind::kNotReady);
}

TEST(WireTest, HugeEstimateIsBounded) {
  const auto job = DecodeJob(
      kRoute, kName,
      R"({"spec":"x","best_effort":true,"steps":[{"count":1,"est_ms":9223372036854775807}]})",
      kMaxTasks);
  ASSERT_TRUE(IsOk(job));
  EXPECT_LE(std::get<Submission>(job).tasks[0].declared_run_time, std::chrono::hours(24));
}

}  // namespace
}  // namespace quetzalvale::platform
