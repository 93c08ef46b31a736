// The selection of repeatable jobs in an overload, at the entry.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kEntry{1, 1};
constexpr Incarnation kAgent{5, 1};
constexpr int kSlots = 2;

class OverloadSelectionTest : public testing::Test {
 protected:
  OverloadSelectionTest() {
    this->Configure(1, true);
    this->AddAgent(kAgent, "a");
  }

  void AddAgent(const Incarnation& agent, const std::string& name) {
    Announce announce{agent, name, "s", "dc", name, {}, {}};
    announce.worker.slots = kSlots;
    announce.load.free_slots = kSlots;
    this->Send(AgentAnnounced{99, announce});
  }

  void Configure(std::uint64_t version, bool select) {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = "s";
    configuration->version = version;
    configuration->agent_queue = 0;
    configuration->overload.select = select;
    for (const auto& [name, urgency, run] :
         {std::tuple("urgent", 0, Milliseconds(50)), std::tuple("other", 2, Milliseconds(400))}) {
      KindConfiguration kind{name, urgency, seconds(5), run};
      kind.attempts = 2;
      kind.target_stretch = 1.6;
      kind.target_slack = Milliseconds(60);
      kind.late_factor = 3;
      configuration->kinds.push_back(kind);
    }
    this->Send(ConfigurationChanged{configuration});
  }

  void Send(const EntryEvent& event) {
    this->starts.clear();
    for (EntryAction& action : this->core.Handle(this->now, event)) {
      if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        this->answers[answer->request] = answer->answer;
      } else if (const auto* start = std::get_if<SendStart>(&action)) {
        this->starts.push_back(start->message);
      } else if (const auto* log = std::get_if<LogEvent>(&action)) {
        this->log[log->number].push_back(log->details);
      }
    }
  }

  void Submit(RequestId request, const std::string& kind, std::size_t tasks = 1) {
    Submission submission;
    submission.service = "s";
    submission.name = "job" + std::to_string(request);
    submission.kind = kind;
    submission.tasks.resize(tasks);
    this->Send(JobSubmitted{request, submission});
  }

  void ReplyToStarts(StartRefusal decision, int free_slots) {
    for (const StartRequest& start : std::vector(this->starts)) {
      StartReply reply;
      reply.agent = kAgent;
      reply.decisions.assign(start.items.size(), decision);
      reply.load.free_slots = free_slots;
      this->Send(StartReplied{kAgent, start.channel_sequence, reply});
    }
  }

  /// Fills the worker with tasks that run on.
  void FillWorker() {
    this->Submit(1, "other", kSlots);
    ASSERT_EQ(this->starts.size(), 1U);
    this->ReplyToStarts(StartRefusal::kNone, 0);
  }

  void ExpectTurnedAway(RequestId request) {
    ASSERT_TRUE(this->answers.contains(request));
    EXPECT_EQ(this->answers.at(request).status, AnswerStatus::kRefused);
    EXPECT_EQ(this->answers.at(request).error, ErrorKind::kOverloaded);
    EXPECT_TRUE(this->answers.at(request).not_run);
  }

  Time now{seconds(1000)};
  EntryCore core{{kEntry, "self", "dc"}, {}, {}, 1};
  std::map<RequestId, Answer> answers;
  std::vector<StartRequest> starts;
  std::map<int, std::vector<std::string>> log;
};

// Accepted jobs waited until they were late, and kept those from being on time that came later.
TEST_F(OverloadSelectionTest, WaitingJobThatCanOnlyBeLateIsTurnedAwayAsNotRun) {
  this->FillWorker();
  this->Submit(2, "urgent");
  EXPECT_FALSE(this->answers.contains(2));
  this->now += Milliseconds(105);
  this->Submit(3, "urgent");
  this->ExpectTurnedAway(2);
  EXPECT_FALSE(this->answers.contains(3));
  ASSERT_EQ(this->log[1049].size(), 1U);
  EXPECT_NE(this->log[1049][0].find("reason=too_late"), std::string::npos) << this->log[1049][0];
  EXPECT_NE(this->log[1049][0].find("slots="), std::string::npos);
  EXPECT_EQ(this->core.Status(this->now).counters.jobs_turned_away.at("too_late"), 1U);
}

TEST_F(OverloadSelectionTest, NobodyIsTurnedAwayWhileWaitingIfTheServiceDoesNotSelect) {
  this->Configure(2, false);
  this->FillWorker();
  this->Submit(2, "urgent");
  this->now += Milliseconds(105);
  this->Submit(3, "urgent");
  EXPECT_TRUE(this->log[1049].empty());
  EXPECT_TRUE(this->core.Status(this->now).counters.jobs_turned_away.empty());
}

// A job that awaited a decision when the setting was removed must not wait for ever.
TEST_F(OverloadSelectionTest, JobsStartIfTheServiceNoLongerSelects) {
  this->FillWorker();
  this->Submit(2, "urgent");
  this->Submit(3, "urgent");
  this->Configure(2, false);
  this->now += Milliseconds(10);
  this->AddAgent({5, 2}, "b");
  EXPECT_EQ(this->core.Status(this->now).services[0].queued_tasks, 0U);
}

// The reply "not run" must be true: a start whose fate is unknown may run.
TEST_F(OverloadSelectionTest, JobWithASentTaskIsLeftAlone) {
  this->Submit(1, "urgent", kSlots + 2);
  ASSERT_EQ(this->starts.size(), 1U);
  for (int i = 0; i < 20; ++i) {
    this->now += Milliseconds(10);
    this->Send(Tick{});
  }
  EXPECT_FALSE(this->answers.contains(1));
}

TEST_F(OverloadSelectionTest, JobOfWhichEveryStartWasRefusedIsTurnedAwayAsNotRun) {
  this->Submit(1, "other");
  this->ReplyToStarts(StartRefusal::kNone, 1);
  this->Submit(2, "urgent");
  ASSERT_EQ(this->starts.size(), 1U);
  this->ReplyToStarts(StartRefusal::kBusy, 0);
  EXPECT_FALSE(this->answers.contains(2));
  this->now += Milliseconds(105);
  this->Submit(3, "urgent");
  this->ExpectTurnedAway(2);
}

// The arriving job is part of the decision, and loses to those of the same value that wait.
TEST_F(OverloadSelectionTest, ArrivingJobIsRefusedWithTheInputsInTheLog) {
  for (RequestId request = 100; request < 200; ++request) {
    // Jobs that are served while there is no overload, so that no kind is short of its share.
    this->Submit(request, request % 2 == 0 ? "urgent" : "other");
    ASSERT_EQ(this->starts.size(), 1U);
    const StartRequest start = this->starts[0];
    this->ReplyToStarts(StartRefusal::kNone, kSlots - 1);
    OutcomesRequest message;
    message.agent = kAgent;
    message.owner = kEntry;
    message.load.free_slots = kSlots;
    message.outcomes = {
        Outcome{start.items[0].task, true, "", "null",
                start.items[0].kind == "urgent" ? Milliseconds(50) : Milliseconds(400),
                start.channel_sequence}};
    this->Send(OutcomesReceived{96, message});
  }
  EXPECT_TRUE(this->log[1041].empty());
  EXPECT_TRUE(this->log[1049].empty()) << "everything fitted";
  this->FillWorker();
  for (RequestId request = 2; request < 10; ++request) {
    this->Submit(request, "urgent", 2);
    this->now += Milliseconds(1);
  }
  EXPECT_TRUE(this->log[1049].empty()) << "the first decision was made only just now";
  this->now += Milliseconds(5);
  this->Submit(10, "urgent", 2);
  this->ExpectTurnedAway(10);
  ASSERT_EQ(this->log[1041].size(), 1U);
  EXPECT_NE(this->log[1041][0].find(" reason="), std::string::npos);
  EXPECT_NE(this->log[1041][0].find(" slots="), std::string::npos);
}

}  // namespace
}  // namespace quetzalvale
