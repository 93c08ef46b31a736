// Evacuation of data centres by an entry: nothing new starts on their workers.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "core/entry/entry_core.h"
#include "tests/support/select_actions.h"

namespace quetzalvale {
namespace {

constexpr Incarnation kEntry{1, 1};
constexpr Incarnation kPeer{1, 2};
constexpr Incarnation kNorth{5, 1};
constexpr Incarnation kSouth{5, 2};

class EvacuationTest : public testing::Test {
 protected:
  EvacuationTest() {
    this->Configure(Objective::kResponseTime);
    this->Announced(kNorth, "north");
    this->Announced(kSouth, "south");
  }

  void Configure(Objective objective) {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = "s";
    configuration->version = ++this->configuration_version;
    KindConfiguration kind{"k", 0, Milliseconds(2000), Milliseconds(50)};
    kind.attempts = 3;
    configuration->kinds = {kind};
    configuration->objective = objective;
    configuration->batching.start_delay = Milliseconds(20);
    configuration->health.eject_after = 1;
    this->Send(ConfigurationChanged{configuration});
  }

  void Send(const EntryEvent& event) { this->actions = this->core.Handle(this->now, event); }

  void Wait(Milliseconds time) {
    this->now += time;
    this->Send(Tick{});
  }

  static AgentLoad Load(std::uint64_t version, bool evacuated) {
    AgentLoad load;
    load.free_slots = 8;
    load.configuration_version = 9;
    load.evacuation_version = version;
    load.evacuated = evacuated;
    return load;
  }

  /// The agent's name and address are those of its data centre.
  AnnounceReply Announced(const Incarnation& agent, const std::string& data_centre) {
    Announce announce{agent, data_centre, "s", data_centre, data_centre, {}, Load(0, false)};
    announce.worker.slots = 8;
    this->Send(AgentAnnounced{99, announce});
    return this->Find<ReplyAnnounce>()->reply;
  }

  AnnounceReply Heard(const Incarnation& agent, const AgentLoad& load) {
    this->Send(HeartbeatReceived{98, {agent, load, 0}});
    return this->Find<ReplyAnnounce>()->reply;
  }

  void Read(std::uint64_t version, std::vector<std::string> data_centres) {
    this->Send(EvacuationsRead{{version, std::move(data_centres)}});
  }

  void Submit(std::uint32_t tasks = 1) {
    Submission submission;
    submission.service = "s";
    submission.name = "00000000000000a" + std::to_string(++this->request);
    submission.kind = "k";
    submission.tasks.resize(tasks);
    this->Send(JobSubmitted{this->request, submission});
  }

  template <typename Action>
  std::vector<Action> Select() const {
    return quetzalvale::Select<Action>(this->actions);
  }

  template <typename Action>
  const Action* Find() const {
    for (const EntryAction& action : this->actions) {
      if (const auto* found = std::get_if<Action>(&action)) return found;
    }
    return nullptr;
  }

  /// Submits jobs until both agents have got a start. Returns that of the northern agent.
  StartRequest StartOnNorth() {
    for (int i = 0; i < 16; ++i) {
      this->Submit();
      if (this->Find<SendStart>()->message.agent == kNorth) return this->Find<SendStart>()->message;
    }
    ADD_FAILURE() << "no start on the northern agent";
    return {};
  }

  /// Submits many jobs; returns whether a start was sent to the agent.
  bool IsUsed(const Incarnation& agent) {
    bool used = false;
    for (int i = 0; i < 6; ++i) {
      this->Submit();
      used = used || std::ranges::any_of(this->Select<SendStart>(), [&](const SendStart& start) {
               return start.message.agent == agent;
             });
    }
    return used;
  }

  void Replied(const StartRequest& start, StartRefusal refusal, const AgentLoad& load) {
    StartReply reply;
    reply.agent = start.agent;
    reply.decisions = {refusal};
    reply.load = load;
    this->Send(StartReplied{start.agent, start.channel_sequence, reply});
  }

  void NotRun(const SendWithdraw& withdrawal) {
    WithdrawReply reply;
    reply.agent = withdrawal.message.agent;
    reply.load = Load(7, true);
    for (const WithdrawItem& item : withdrawal.message.items) {
      reply.reports.push_back({item.task, TaskStatus::kNotRun, std::nullopt});
    }
    this->Send(WithdrawReplied{reply.agent, withdrawal.message.items, reply});
  }

  void Ended(const StartRequest& start, const std::string& reason) {
    OutcomesRequest message;
    message.agent = start.agent;
    message.owner = kEntry;
    message.load = Load(0, false);
    message.outcomes = {Outcome{start.items[0].task, false, reason, "null", Milliseconds(1),
                                start.channel_sequence}};
    this->Send(OutcomesReceived{97, message});
  }

  Time now{std::chrono::seconds(1000)};
  std::uint64_t configuration_version = 0;
  RequestId request = 0;
  EntryCore core{{kEntry, "self", "dc"}, {}, {"peer"}, 1};
  std::vector<EntryAction> actions;
};

TEST_F(EvacuationTest, TakesNoPlacementsAndQueuedTasksRunElsewhere) {
  const StartRequest start = this->StartOnNorth();
  this->Replied(start, StartRefusal::kNone, Load(0, false));
  this->Read(7, {"north"});
  const auto withdrawals = this->Select<SendWithdraw>();
  ASSERT_EQ(withdrawals.size(), 1U);
  EXPECT_EQ(withdrawals[0].message.agent, kNorth);
  EXPECT_FALSE(withdrawals[0].message.stop_running) << "running tasks are left to finish";
  this->NotRun(withdrawals[0]);
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kSouth);
  EXPECT_FALSE(this->IsUsed(kNorth));
}

// A message that was not sent when the row was read must not leave afterwards.
TEST_F(EvacuationTest, BatchedStartsAreNotSent) {
  this->Configure(Objective::kMessages);
  this->Submit(16);
  this->Read(7, {"north"});
  std::size_t started = 0;
  for (int i = 0; i < 5; ++i) {
    this->Wait(Milliseconds(20));
    for (const SendStart& start : this->Select<SendStart>()) {
      EXPECT_EQ(start.message.agent, kSouth);
      started += start.message.items.size();
    }
  }
  EXPECT_GE(started, 8U);
}

TEST_F(EvacuationTest, OfTwoEvacuationsOneIsRevoked) {
  this->Read(7, {"north"});
  this->Read(8, {"north", "south"});
  this->Submit();
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->Find<AnswerCaller>(), nullptr) << "a job that nobody may run is refused at once";
  EXPECT_TRUE(this->Find<AnswerCaller>()->answer.not_run);
  this->Read(9, {"south"});
  EXPECT_TRUE(this->IsUsed(kNorth));
  this->Read(8, {"north", "south"});
  EXPECT_TRUE(this->IsUsed(kNorth)) << "an older version changes nothing";
  EXPECT_FALSE(this->IsUsed(kSouth));
}

// The revocation reaches the entry before the agent, which refuses starts until it is told.
TEST_F(EvacuationTest, AgentIsUsedAgainOnceItKnowsOfTheRevocation) {
  this->Read(7, {"north"});
  const Heartbeat confirmed{kNorth, Load(7, true), 0};
  this->Send(NoticeReplied{kNorth, this->Find<SendNotice>()->message, 0, confirmed});
  this->Read(8, {});
  ASSERT_EQ(this->Select<SendNotice>().size(), 1U);
  EXPECT_FALSE(this->Find<SendNotice>()->message.evacuated);
  EXPECT_FALSE(this->IsUsed(kNorth));
  this->Heard(kNorth, Load(8, false));
  EXPECT_TRUE(this->IsUsed(kNorth));
}

// Tasks that lose their last agent after the row was read must not wait for their deadline.
TEST_F(EvacuationTest, JobIsGivenUpWhenItsLastTaskReturnsFromTheLastAgent) {
  const StartRequest start = this->StartOnNorth();
  this->Read(7, {"north", "south"});
  bool answered = false;
  for (const SendWithdraw& withdrawal : this->Select<SendWithdraw>()) {
    this->NotRun(withdrawal);
    for (const AnswerCaller& answer : this->Select<AnswerCaller>()) {
      answered = answered || answer.answer.not_run;
    }
  }
  EXPECT_TRUE(answered);
}

// More tasks return at once than the retry budget covers.
TEST_F(EvacuationTest, ReturnedTasksNeedNoRetryBudget) {
  this->Submit(16);
  this->Read(7, {"north"});
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  const SendWithdraw withdrawal = *this->Find<SendWithdraw>();
  ASSERT_GE(withdrawal.message.items.size(), 6U);
  this->Heard(kSouth, Load(7, false));
  this->Announced({5, 3}, "west");
  this->NotRun(withdrawal);
  std::size_t started = 0;
  for (const SendStart& start : this->Select<SendStart>()) {
    started += start.message.items.size();
  }
  EXPECT_EQ(started, withdrawal.message.items.size());
}

// An entry that is cut off from the store learns from the agent that refuses its start.
TEST_F(EvacuationTest, EntryWithoutTheRowDoesNotRepeatRefusedStarts) {
  this->Replied(this->StartOnNorth(), StartRefusal::kEvacuated, Load(7, true));
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kSouth);
  EXPECT_FALSE(this->IsUsed(kNorth));
}

// The restarted agent has not heard from an entry that knows, and would take the start.
TEST_F(EvacuationTest, EntryWithoutTheRowDoesNotUseAnAgentThatRestarted) {
  this->Heard(kNorth, Load(7, true));
  const AnnounceReply reply = this->Announced({5, 9}, "north");
  EXPECT_TRUE(reply.evacuated);
  EXPECT_EQ(reply.evacuation_version, 7U);
  EXPECT_FALSE(this->IsUsed({5, 9}));
  this->Heard({5, 9}, Load(8, false));
  EXPECT_TRUE(this->IsUsed({5, 9})) << "another entry has told it of the revocation";
}

TEST_F(EvacuationTest, EntryWithoutTheRowLearnsFromAnotherEntry) {
  Hello hello;
  hello.entry = {kPeer, "peer", "dc"};
  hello.evacuations = {7, {"north"}};
  this->Send(HelloReceived{96, hello});
  EXPECT_EQ(this->Find<ReplyHello>()->reply.evacuations.version, 7U);
  EXPECT_FALSE(this->IsUsed(kNorth));
  this->Read(6, {});
  EXPECT_FALSE(this->IsUsed(kNorth)) << "the store's answer is older";
}

TEST_F(EvacuationTest, OtherEntriesAreToldAtOnce) {
  Hello hello;
  hello.entry = {kPeer, "peer", "dc"};
  this->Send(HelloReplied{"peer", hello});
  this->Read(7, {"north"});
  const auto hellos = this->Select<SendHello>();
  ASSERT_EQ(hellos.size(), 1U);
  EXPECT_EQ(hellos[0].message.evacuations.data_centres, (std::vector<std::string>{"north"}));
}

// An agent holds tasks of entries that are cut off from the store, so every entry tells it.
TEST_F(EvacuationTest, AgentIsToldAtOnceAndUntilItConfirms) {
  this->Read(7, {"north"});
  auto notices = this->Select<SendNotice>();
  ASSERT_EQ(notices.size(), 1U) << "only agents of the data centre are concerned";
  EXPECT_EQ(notices[0].agent, kNorth);
  EXPECT_TRUE(notices[0].message.evacuated);
  EXPECT_EQ(notices[0].message.evacuation_version, 7U);
  this->Send(NoticeReplied{kNorth, notices[0].message, 0, Error{ErrorKind::kTimeout, "lost"}});
  this->Wait(Milliseconds(400));
  EXPECT_TRUE(this->Select<SendNotice>().empty());
  this->Wait(Milliseconds(400));
  this->Wait(Milliseconds(400));
  notices = this->Select<SendNotice>();
  ASSERT_EQ(notices.size(), 1U);
  const Heartbeat confirmed{kNorth, Load(7, true), 0};
  this->Send(NoticeReplied{kNorth, notices[0].message, 0, confirmed});
  this->Wait(Milliseconds(400));
  EXPECT_TRUE(this->Select<SendNotice>().empty());
}

// The notice may be lost, and an agent that restarts has forgotten.
TEST_F(EvacuationTest, RepliesToAnnouncementsAndHeartbeatsTell) {
  this->Read(7, {"north"});
  EXPECT_TRUE(this->Heard(kNorth, Load(0, false)).evacuated);
  EXPECT_FALSE(this->Heard(kSouth, Load(0, false)).evacuated);
  const AnnounceReply restarted = this->Announced({5, 9}, "north");
  EXPECT_TRUE(restarted.evacuated);
  EXPECT_EQ(restarted.evacuation_version, 7U);
  EXPECT_FALSE(this->IsUsed({5, 9}));
  const AnnounceReply unknown = this->Heard({5, 77}, Load(7, true));
  EXPECT_EQ(unknown.evacuation_version, 0U) << "the entry does not know the data centre";
}

// A probe would start a task there.
TEST_F(EvacuationTest, EjectedEndpointIsNotProbed) {
  this->Ended(this->StartOnNorth(), "endpoint_failed");
  this->Read(7, {"north"});
  this->now += Milliseconds(400);
  for (int i = 0; i < 8; ++i) {
    this->Wait(Milliseconds(400));
    this->Heard(kSouth, Load(7, false));
    this->Heard(kNorth, Load(7, true));
  }
  EXPECT_FALSE(this->IsUsed(kNorth));
}

TEST_F(EvacuationTest, FailedRunIsRepeatedElsewhere) {
  const StartRequest start = this->StartOnNorth();
  this->Replied(start, StartRefusal::kNone, Load(0, false));
  this->Read(7, {"north"});
  this->Ended(start, "task_failed");
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kSouth);
}

TEST_F(EvacuationTest, StatusNamesDataCentresAndAgents) {
  this->Read(7, {"north"});
  this->Read(8, {"south"});
  const EntryStatus status = this->core.Status(this->now);
  EXPECT_EQ(status.evacuations.version, 8U);
  EXPECT_EQ(status.evacuations.data_centres, (std::vector<std::string>{"south"}));
  EXPECT_EQ(status.evacuations_revoked, (std::vector<std::string>{"north"}));
  EXPECT_FALSE(status.services.at(0).agents.at(0).evacuated);
  EXPECT_TRUE(status.services.at(0).agents.at(1).evacuated);
}

}  // namespace
}  // namespace quetzalvale
