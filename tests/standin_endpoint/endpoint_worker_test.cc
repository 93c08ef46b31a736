#include "standin/endpoint_worker.h"

#include <gtest/gtest.h>

#include <memory>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

Time At(int ms) { return kStart + Milliseconds(ms); }

class EndpointWorkerTest : public testing::Test {
 protected:
  EndpointWorkerTest() { this->worker = this->Make(EndpointOptions{2, 3, 7}, EndpointControl()); }

  std::unique_ptr<EndpointWorker> Make(EndpointOptions options, EndpointControl control) {
    return std::make_unique<EndpointWorker>(options, control, this->journal);
  }

  HttpResponder Into(std::vector<HttpResponse>* answers) {
    return [answers](HttpResponse response) { answers->push_back(std::move(response)); };
  }

  void Start(int ms, const std::string& name, double run_ms, int lease_ms = 10000,
             bool fail = false) {
    this->worker->Start(At(ms), EndpointTask{name, Milliseconds(lease_ms), run_ms, fail, 5},
                        this->Into(&this->answers));
  }

  std::string EndOf(Json::ArrayIndex record) {
    return this->journal.ToJson()["starts"][record]["end"].asString();
  }

  EndpointJournal journal{kStart, std::chrono::system_clock::time_point()};
  std::unique_ptr<EndpointWorker> worker;
  std::vector<HttpResponse> answers;
};

TEST_F(EndpointWorkerTest, AnswersWhenTheTaskEnds) {
  this->Start(0, "a", 100);
  this->Start(0, "b", 150, 10000, true);
  this->worker->Advance(At(99));
  EXPECT_TRUE(this->answers.empty());
  this->worker->Advance(At(150));
  ASSERT_EQ(this->answers.size(), 2U);
  EXPECT_EQ(this->answers[0].body, R"({"result":5,"status":"ok"})");
  EXPECT_EQ(std::get<Json::Value>(ReadJson(this->answers[1].body))["status"], "failed");
  const Json::Value journal = this->journal.ToJson();
  EXPECT_EQ(journal["starts"][0]["ended_ms"].asInt(), 100);
  EXPECT_EQ(this->EndOf(1), "failed");
}

// Scenarios take the peak as proof that no worker was shared out twice.
TEST_F(EndpointWorkerTest, KeepsThePeakOfWhatRunningTasksDeclare) {
  const auto start = [&](int ms, const std::string& name, double run_ms, Resources declared) {
    this->worker->Start(
        At(ms), EndpointTask{name, Milliseconds(10000), run_ms, false, 5, declared, {1, 7, 8, 9}},
        this->Into(&this->answers));
  };
  start(0, "a", 100, {1, 1500, 10, 2});
  start(50, "b", 100, {1, 500, 30, 0});
  start(120, "c", 10, {1, 0, 20, 1});
  this->worker->Advance(At(2000));
  EXPECT_EQ(WriteJson(this->worker->PeakDeclared()),
            R"({"accelerators":2,"cores":2.0,"memory_mb":50,"slots":2})");
}

// Usage that is reported at once would hide an agent that relies on it.
TEST_F(EndpointWorkerTest, UsageByTaskIsReportedWithALag) {
  this->worker->Start(
      At(0), EndpointTask{"a", Milliseconds(10000), 500, false, 5, {1, 0, 0, 0}, {1, 250, 8, 1}},
      this->Into(&this->answers));
  this->worker->Advance(At(250));
  EXPECT_EQ(this->worker->Usage(At(900))["tasks"].size(), 0U);
  EXPECT_EQ(WriteJson(this->worker->Usage(At(1250))["tasks"]),
            R"([{"accelerators":1,"cores":0.25,"memory_mb":8,"task":"a"}])");
}

// A refusal is the agent's proof that the task did not run.
TEST_F(EndpointWorkerTest, RefusedTaskIsNotInTheJournal) {
  this->Start(0, "a", 100);
  this->Start(0, "b", 100);
  this->Start(0, "c", 100);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].status, 503);
  EXPECT_EQ(this->journal.Size(), 2U);
}

TEST_F(EndpointWorkerTest, OpenRequestsAreLimitedEvenWhenTheWorkIsDone) {
  EndpointControl frozen;
  frozen.frozen = true;
  this->worker->SetControl(At(0), frozen);
  for (int i = 0; i < 4; ++i) {
    this->Start(i * 10, "t", 1);
  }
  EXPECT_EQ(this->journal.Size(), 3U);
  EXPECT_TRUE(this->answers.empty()) << "frozen";
  this->worker->SetControl(At(100), EndpointControl());
  EXPECT_EQ(this->answers.size(), 4U);
}

// Guarantee 5 rests on the worker stopping tasks whose agent is gone.
TEST_F(EndpointWorkerTest, LapsedLeaseStopsTheTask) {
  this->Start(0, "a", 1000, 300);
  this->Start(0, "b", 1000, 300);
  EXPECT_EQ(this->worker->Renew(At(200), {"b", "unknown"}, Milliseconds(900)), 1);
  this->worker->Advance(At(1000));
  EXPECT_EQ(this->EndOf(0), "lease_lapsed");
  EXPECT_EQ(this->EndOf(1), "ok");
}

TEST_F(EndpointWorkerTest, StopThrottleAndCheckpoint) {
  this->Start(0, "a", 100);
  this->Start(0, "b", 100);
  EXPECT_TRUE(this->worker->Stop(At(10), "a"));
  EXPECT_FALSE(this->worker->Stop(At(10), "a"));
  EXPECT_EQ(this->EndOf(0), "stopped");
  EXPECT_DOUBLE_EQ(this->worker->Checkpoint(At(50), "b").value(), 0.5);
  EXPECT_TRUE(this->worker->Throttle(At(50), "b", 2));
  this->worker->Advance(At(149));
  EXPECT_EQ(this->worker->Running(), 1);
  this->worker->Advance(At(150));
  EXPECT_EQ(this->EndOf(1), "ok");
}

TEST_F(EndpointWorkerTest, FaultsAreSwitchable) {
  EndpointControl control;
  control.fail_everything = true;
  this->worker->SetControl(At(0), control);
  this->Start(0, "a", 1000);
  this->worker->Advance(At(1));
  EXPECT_EQ(std::get<Json::Value>(ReadJson(this->answers.at(0).body))["status"], "failed");
  control = EndpointControl();
  control.drop_after_start = true;
  control.speed = 2;
  this->worker->SetControl(At(2), control);
  this->Start(10, "b", 100);
  EXPECT_TRUE(this->answers.at(1).broken_off);
  this->worker->Advance(At(60));
  EXPECT_EQ(this->EndOf(1), "ok") << "the work goes on, at twice the speed";
}

TEST_F(EndpointWorkerTest, StragglersFollowSeedAndShare) {
  EndpointControl control;
  control.straggler_share = 0.25;
  std::vector<std::vector<int>> ends(2);
  for (auto& run : ends) {
    this->worker = this->Make(EndpointOptions{400, 400, 3}, control);
    for (int i = 0; i < 400; ++i) {
      this->Start(0, "t", 10);
    }
    this->worker->Advance(At(10));
    run.push_back(this->worker->Running());
  }
  EXPECT_EQ(ends[0], ends[1]);
  EXPECT_GT(ends[0][0], 60);
  EXPECT_LT(ends[0][0], 140);
}

TEST_F(EndpointWorkerTest, UsageLags) {
  this->worker->Advance(At(0));
  this->Start(100, "a", 10000);
  this->worker->Advance(At(300));
  EXPECT_EQ(this->worker->Usage(At(1200))["running"].asInt(), 0);
  EXPECT_EQ(this->worker->Usage(At(1300))["running"].asInt(), 1);
}

TEST(EndpointControlTest, RefusesWhatItDoesNotKnow) {
  const auto change = [](const char* text) {
    return ChangeControl(EndpointControl(), std::get<Json::Value>(ReadJson(text)));
  };
  EXPECT_TRUE(IsOk(change(R"({"speed":0.5,"frozen":true})")));
  EXPECT_FALSE(IsOk(change(R"({"speed":0})")));
  EXPECT_FALSE(IsOk(change(R"({"frozen":1})")));
  EXPECT_FALSE(IsOk(change(R"({"froozen":true})")));
}

}  // namespace
}  // namespace quetzalvale
