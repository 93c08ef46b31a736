// What an agent does when entries tell it that its data centre is evacuated.
#include <gtest/gtest.h>

#include "core/agent/agent_core.h"
#include "core/agent/outcome_reasons.h"
#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

constexpr int kSlots = 1;

class AgentEvacuationTest : public testing::Test {
 protected:
  AgentEvacuationTest() : core(MakeIdentity(kSlots), {kOwnerAddress}) {
    this->Handle(EndpointChecked{true});
  }

  std::vector<AgentAction> Handle(const AgentEvent& event) {
    this->now += Milliseconds(1);
    return this->core.Handle(this->now, event);
  }

  static AnnounceReply Message(std::uint64_t version, bool evacuated) {
    AnnounceReply message;
    message.entry = {kOwnerId, kOwnerAddress, "dc"};
    message.evacuation_version = version;
    message.evacuated = evacuated;
    return message;
  }

  std::vector<AgentAction> Told(std::uint64_t version, bool evacuated) {
    return this->Handle(NoticeReceived{3, Message(version, evacuated)});
  }

  StartRefusal Start(std::uint64_t sequence) {
    const auto actions = this->Handle(StartReceived{1, MakeStart(sequence, {MakeTask(sequence)})});
    return Select<ReplyStart>(actions).at(0).reply.decisions.at(0);
  }

  AgentCore core;
  Time now{std::chrono::seconds(100)};
};

// A start on an evacuated worker is lost when the data centre is switched off.
TEST_F(AgentEvacuationTest, RefusesStartsReturnsQueuedTasksAndLeavesTheRunningOne) {
  EXPECT_EQ(this->Start(1), StartRefusal::kNone);
  EXPECT_EQ(this->Start(2), StartRefusal::kNone);
  const auto actions = this->Told(7, true);
  const auto outcomes = Select<SendOutcomes>(actions);
  ASSERT_EQ(outcomes.size(), 1U);
  ASSERT_EQ(outcomes[0].message.outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].message.outcomes[0].task, MakeTask(2));
  EXPECT_EQ(outcomes[0].message.outcomes[0].reason, kNotRun);
  EXPECT_TRUE(Select<StopOnEndpoint>(actions).empty());
  const AgentLoad load = Select<ReplyNotice>(actions).at(0).reply.load;
  EXPECT_TRUE(load.evacuated);
  EXPECT_EQ(load.evacuation_version, 7U);
  EXPECT_EQ(load.free_slots, 0);
  EXPECT_EQ(this->Start(3), StartRefusal::kEvacuated);
  const auto ended = this->Handle(
      EndpointFinished{MakeTask(1), Outcome{MakeTask(1), true, "", "1", Microseconds(5)}});
  EXPECT_TRUE(Select<StartOnEndpoint>(ended).empty());
}

// Entries that are cut off from the store go on telling what they knew.
TEST_F(AgentEvacuationTest, HighestVersionWinsWhateverTheOrderOfTheMessages) {
  this->Told(7, true);
  this->Told(6, false);
  this->Told(0, false);
  EXPECT_TRUE(this->core.IsEvacuated());
  this->Told(8, false);
  this->Told(7, true);
  EXPECT_FALSE(this->core.IsEvacuated());
  EXPECT_EQ(this->Start(1), StartRefusal::kNone);
  EXPECT_EQ(this->core.CurrentLoad().evacuation_version, 8U);
}

// A read of several pages may contain a row that is newer than the version it names.
TEST_F(AgentEvacuationTest, EvacuationCountsAmongMessagesOfOneVersion) {
  this->Told(7, false);
  this->Told(7, true);
  this->Told(7, false);
  EXPECT_TRUE(this->core.IsEvacuated());
}

// An agent that restarts knows nothing until its announcement is answered.
TEST_F(AgentEvacuationTest, ReplyToTheAnnouncementTells) {
  this->Handle(AnnounceReplied{kOwnerAddress, Message(7, true), this->now});
  EXPECT_EQ(this->Start(1), StartRefusal::kEvacuated);
}

}  // namespace
}  // namespace quetzalvale
