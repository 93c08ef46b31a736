#include "load/load_runner.h"

#include <gtest/gtest.h>
#include <json/reader.h>
#include <json/writer.h>

#include <sstream>

#include "load/clairvoyant.h"
#include "load/report.h"

namespace quetzalvale {
namespace {

constexpr char kWorkload[] = R"({"name": "small", "service": "s", "seed": 3, "duration_s": 0.2,
  "load": 0.5, "teams": [{"name": "a"}], "resubmissions": 1,
  "kinds": [{"name": "k", "tasks": [{"low": 1, "high": 3}], "run_ms": [{"low": 1, "high": 5}]}],
  "endpoints": [{"slots": 4}]})";

Json::Value Parse(const std::string& text) {
  Json::Value value;
  std::istringstream(text) >> value;
  return value;
}

std::string Write(const Json::Value& value) {
  return Json::writeString(Json::StreamWriterBuilder(), value);
}

/// Two entries that answer at once: echoes in order, one fresh ticket each.
class FakeEntries {
 public:
  void Send(const LoadRequest& request, const std::function<void(LoadReply)>& done) {
    if (request.target == "/v1/services/s/tickets") {
      Json::Value reply;
      for (int i = 0; i < this->tickets_per_call; ++i) {
        reply["tickets"].append(this->NewTicket(request.address));
      }
      return done({200, Write(reply)});
    }
    if (request.method != "POST" || request.target != "/v1/services/s/jobs") return done({404, ""});
    const Json::Value body = Parse(request.body);
    const std::string ticket = body["ticket"].asString();
    const bool first = ++this->submissions[ticket] == 1;
    if (first) this->owner_kept = this->owner_kept && ticket.starts_with(request.address);
    if (first && this->drop_every > 0 && this->submissions.size() % this->drop_every == 0) {
      ++this->dropped;
      return done({0, "connection broken"});
    }
    Json::Value answer;
    answer["status"] = "complete";
    for (const Json::Value& task : body["tasks"]) {
      Json::Value outcome;
      outcome["result"] = task["payload"]["echo"];
      answer["outcomes"].append(outcome);
    }
    answer["tickets"].append(this->NewTicket(request.address));
    done({200, Write(answer)});
  }

  int tickets_per_call = 100;
  std::size_t drop_every = 0;
  std::map<std::string, int> submissions;
  int dropped = 0;
  bool owner_kept = true;

 private:
  std::string NewTicket(const std::string& address) {
    return address + "~" + std::to_string(++this->sequence);
  }
  int sequence = 0;
};

class LoadRunnerTest : public ::testing::Test {
 protected:
  LoadReport Run() {
    const auto jobs = PlanJobs(this->workload);
    const SystemClock clock;
    LoadRunner runner(
        this->workload, jobs, {{"127.0.0.1:1", "127.0.0.1:2"}, this->endpoints, ""},
        [this](const LoadRequest& request, std::function<void(LoadReply)> done) {
          this->entries.Send(request, done);
        },
        clock, [](const std::string&) {});
    this->records = runner.Run();
    this->failed_controls = runner.FailedControls();
    return Summarize(this->workload, jobs, this->records,
                     ClairvoyantResponses(jobs, this->workload.endpoints, 0), {});
  }

  Workload workload = std::get<Workload>(ParseWorkload(kWorkload));
  FakeEntries entries;
  std::vector<std::string> endpoints;
  std::vector<JobRecord> records;
  std::uint64_t failed_controls = 0;
};

// A ticket that is used at another entry costs a forwarded message, and one that is used twice
// makes a conflict.
TEST_F(LoadRunnerTest, UsesEachTicketOnceAtTheEntryThatGaveIt) {
  const LoadReport report = this->Run();
  EXPECT_GT(report.jobs, 10U);
  EXPECT_EQ(report.complete, report.jobs);
  EXPECT_EQ(report.ViolationCount(), 0U);
  EXPECT_TRUE(this->entries.owner_kept);
  EXPECT_EQ(this->entries.submissions.size(), report.jobs);
}

// Fails when jobs are dropped or sent without identity while no ticket is at hand.
TEST_F(LoadRunnerTest, WaitsForTicketsThatRunShort) {
  this->entries.tickets_per_call = 1;
  const LoadReport report = this->Run();
  EXPECT_EQ(report.complete, report.jobs);
}

// Fails when a lost job is sent again under another ticket, which could run it twice.
TEST_F(LoadRunnerTest, ResubmitsWithTheSameTicketOnlyWhenTold) {
  this->entries.drop_every = 3;
  const LoadReport report = this->Run();
  EXPECT_EQ(report.complete, report.jobs);
  EXPECT_GT(this->entries.dropped, 0);
  EXPECT_EQ(this->entries.submissions.size(), report.jobs);
  this->entries = {};
  this->entries.drop_every = 3;
  this->workload.resubmissions = 0;
  const LoadReport untold = this->Run();
  EXPECT_GT(untold.no_answer.at("unreachable"), 0U);
  EXPECT_EQ(untold.complete + untold.no_answer.at("unreachable"), untold.jobs);
}

TEST_F(LoadRunnerTest, ResponseCountsFromTheIntendedTimeWithCallerLatency) {
  this->workload.caller_latency_ms = 1000;
  this->Run();
  for (const JobRecord& record : this->records) EXPECT_GE(record.response_ms, 2000);
}

// Fails when a refused control goes unnoticed: the first measurement compared endpoints of speed 1
// with a clairvoyant dispatcher's of speed 1.5.
TEST_F(LoadRunnerTest, CountsControlsThatFail) {
  this->endpoints = {"127.0.0.1:3"};
  this->Run();
  EXPECT_EQ(this->failed_controls, 1U);
}

TEST(PercentileTest, TakesTheNearestRank) {
  EXPECT_EQ(Percentile({}, 0.5), 0);
  EXPECT_EQ(Percentile({3, 1, 2}, 0.5), 2);
  EXPECT_EQ(Percentile({3, 1, 2, 4}, 0.99), 4);
}

// Fails when jobs of the warm-up count in the ratio, or failed ones count as complete.
TEST(ReportTest, MeasuresCompleteJobsAfterTheWarmUp) {
  Workload workload = std::get<Workload>(ParseWorkload(kWorkload));
  workload.warmup_s = 0.1;
  std::vector<PlannedJob> jobs(3);
  std::vector<JobRecord> records(3);
  for (int i = 0; i < 3; ++i) {
    jobs[i].at_ms = 80.0 * i;
    jobs[i].tasks = {{40, 0}};
    records[i].response_ms = 10.0 * (i + 1);
    records[i].answered_at_ms = jobs[i].at_ms + records[i].response_ms;
    records[i].answer.status = CallerStatus::kComplete;
  }
  records[1].answer.status = CallerStatus::kRefused;
  records[1].answer.reason = "quota";
  records[1].answer.not_run = true;
  const std::vector<double> ideal{1, 1, 15};
  const LoadReport report = Summarize(workload, jobs, records, ideal, {{30, 20}, 10, 1, 2, 0});
  EXPECT_EQ(report.p50_ratio, 2);
  EXPECT_EQ(report.refused.at("quota"), 1U);
  EXPECT_EQ(report.refused_not_run, 1U);
  EXPECT_NEAR(report.goodput, 40 / 400.0, 1e-9);
  EXPECT_EQ(report.wasted_per_task, 1);
  EXPECT_EQ(report.ViolationCount(), 3U);
}

}  // namespace
}  // namespace quetzalvale
