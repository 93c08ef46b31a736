#include <gtest/gtest.h>

#include <algorithm>

#include "core/agent/announcer.h"
#include "core/agent/endpoint_monitor.h"
#include "core/agent/lease_renewer.h"
#include "core/agent/outcome_sender.h"
#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

Time At(int ms) { return kStart + Milliseconds(ms); }

TEST(LeaseRenewerTest, RenewsAfterAThirdInOneRequest) {
  LeaseRenewer leases;
  leases.Add(MakeTask(1), Milliseconds(3000), At(0));
  leases.Add(MakeTask(2), Milliseconds(3000), At(400));
  leases.Add(MakeTask(3), Milliseconds(3000), At(900));
  EXPECT_TRUE(leases.TakeDue(At(999)).empty());
  const auto due = leases.TakeDue(At(1000));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].tasks.size(), 2U);
  EXPECT_EQ(due[0].late, 0U);
  leases.Remove(MakeTask(1));
  leases.Remove(MakeTask(2));
  const auto frozen = leases.TakeDue(At(9000));
  ASSERT_EQ(frozen.size(), 1U);
  EXPECT_EQ(frozen[0].late, 1U);
}

class OutcomeSenderTest : public testing::Test {
 protected:
  OutcomeSenderTest() { this->sender.HeardFrom(kOwnerId, kOwnerAddress, At(0)); }

  std::size_t DueAt(int ms) {
    const auto batches = this->sender.TakeDue(At(ms));
    return batches.empty() ? 0 : batches[0].tasks.size();
  }

  OutcomeSender sender;
};

TEST_F(OutcomeSenderTest, BatchesByDelayAndSize) {
  this->sender.SetBatching(Milliseconds(50), 2);
  this->sender.Add(MakeTask(1), At(0));
  EXPECT_EQ(this->DueAt(49), 0U);
  this->sender.Add(MakeTask(2), At(49));
  this->sender.Add(MakeTask(3), At(49));
  EXPECT_EQ(this->DueAt(49), 2U) << "a full batch is sent at once";
  EXPECT_EQ(this->DueAt(60), 0U) << "one batch at a time";
  this->sender.Acknowledged(kOwnerId, {MakeTask(1), MakeTask(2)}, At(61));
  EXPECT_EQ(this->DueAt(61), 1U);
}

// A task was refused, started again and ended while the refusal was in flight. The acknowledgement
// of the refusal was mistaken for that of the new outcome, which was then never sent.
TEST_F(OutcomeSenderTest, OutcomeOfALaterStartIsNotAcknowledgedWithTheEarlierOne) {
  this->sender.Add(MakeTask(1), At(0));
  EXPECT_EQ(this->DueAt(0), 1U);
  this->sender.Add(MakeTask(1), At(5));
  EXPECT_TRUE(this->sender.Acknowledged(kOwnerId, {MakeTask(1)}, At(10)).empty());
  EXPECT_EQ(this->DueAt(10), 1U);
  EXPECT_EQ(this->sender.Acknowledged(kOwnerId, {MakeTask(1)}, At(20)).size(), 1U);
  EXPECT_FALSE(this->sender.HasPending(kOwnerId));
}

// Without retries, a lost message would lose the outcome.
TEST_F(OutcomeSenderTest, RetriesWithBackoffUntilAcknowledged) {
  this->sender.Add(MakeTask(1), At(0));
  EXPECT_EQ(this->DueAt(0), 1U);
  this->sender.Failed(kOwnerId, At(0));
  EXPECT_EQ(this->DueAt(99), 0U);
  EXPECT_EQ(this->DueAt(100), 1U);
  this->sender.Failed(kOwnerId, At(100));
  EXPECT_EQ(this->DueAt(299), 0U);
  this->sender.HeardFrom(kOwnerId, "", At(299));
  EXPECT_EQ(this->DueAt(299), 1U) << "contact from the owner ends the backoff";
  EXPECT_EQ(this->DueAt(40000), 0U)
      << "a batch without a result counts as failed and starts a backoff";
  EXPECT_EQ(this->DueAt(40100), 1U) << "a missing result must not stall the delivery";
  this->sender.Acknowledged(kOwnerId, {MakeTask(1)}, At(40000));
  EXPECT_EQ(this->sender.Pending(), 0U);
}

TEST_F(OutcomeSenderTest, GoneOwnerGetsNothing) {
  this->sender.Add(MakeTask(1), At(0));
  EXPECT_EQ(this->sender.GiveUp(kOwnerId).size(), 1U);
  EXPECT_FALSE(this->sender.Add(MakeTask(2), At(1)));
  EXPECT_EQ(this->DueAt(1000), 0U);
  this->sender.HeardFrom(kOwnerId, "", At(1000));
  EXPECT_TRUE(this->sender.Add(MakeTask(2), At(1000)));
}

TEST_F(OutcomeSenderTest, UnreachableOwnerIsGivenUp) {
  this->sender.Add(MakeTask(1), At(0));
  this->sender.Failed(kOwnerId, At(0));
  EXPECT_TRUE(this->sender.GiveUpUnreachable(At(299999)).empty());
  EXPECT_EQ(this->sender.GiveUpUnreachable(At(300000)).size(), 1U);
}

class AnnouncerTest : public testing::Test {
 protected:
  AnnouncerTest() {
    this->announcer.SetIntervals(
        {Milliseconds(1000), Milliseconds(20000), Milliseconds(300000), Milliseconds(3000)});
  }

  /// The addresses that are due as one string, with "!" after those due for a full announcement.
  std::string DueAt(int ms) {
    std::string text;
    for (const auto& due : this->announcer.TakeDue(At(ms))) {
      text += due.address + (due.full ? "!" : "");
    }
    return text;
  }

  static AnnounceReply Reply(std::uint64_t incarnation, bool member) {
    AnnounceReply reply;
    reply.entry = {{2, incarnation}, "seed", "dc"};
    reply.member = member;
    return reply;
  }

  bool active = false;
  Announcer announcer{{"seed"}, [this](const std::string& /*address*/) { return this->active; }};
};

// Heartbeats that are too frequent flood the entries; too rare ones make them take a live agent for
// dead.
TEST_F(AnnouncerTest, HeartbeatIntervalDependsOnMembershipAndTasks) {
  this->announcer.AddEntry("user", At(0));
  EXPECT_EQ(this->DueAt(0), "seed!user!") << "full announcement at startup";
  this->announcer.Answered("user", Reply(2, true), At(0));
  this->announcer.Answered("seed", Reply(1, false), At(0));
  this->announcer.RecordTraffic("user", At(290000));
  EXPECT_EQ(this->DueAt(299999), "");
  EXPECT_EQ(this->DueAt(300000), "seed") << "not a member here, but elsewhere";
  this->announcer.RecordTraffic("user", At(330000));
  this->announcer.Answered("seed", Reply(1, true), At(300000));
  this->announcer.RecordTraffic("seed", At(310000));
  EXPECT_EQ(this->DueAt(329999), "");
  EXPECT_EQ(this->DueAt(330000), "seed") << "idle member";
  this->announcer.Answered("seed", Reply(1, true), At(330000));
  this->active = true;
  EXPECT_EQ(this->DueAt(330999), "");
  EXPECT_EQ(this->DueAt(331000), "seeduser") << "active";
}

// Unless a notice takes effect at once, a new member keeps sending heartbeats at the interval for
// distant entries.
TEST_F(AnnouncerTest, NoticeChangesMembershipAndAddsEntries) {
  this->DueAt(0);
  this->announcer.Answered("seed", Reply(1, false), At(0));
  AnnounceReply notice = Reply(1, true);
  notice.entries = {{{2, 5}, "new", "dc"}, {{2, 9}, "seed", "dc"}};
  this->announcer.HandleNotice(notice, At(1000));
  EXPECT_EQ(this->DueAt(1000), "new!seed!") << "another incarnation at a known address";
  this->announcer.Answered("seed", Reply(9, true), At(1000));
  this->announcer.HandleNotice(Reply(1, false), At(2000));
  EXPECT_EQ(this->DueAt(2000), "seed!") << "notice from another incarnation at the address";
}

// A restarted entry must get to know the agent at its next heartbeat.
TEST_F(AnnouncerTest, AnnouncesInFullToAnEntryThatDoesNotKnowIt) {
  this->DueAt(0);
  this->announcer.Answered("seed", Reply(1, true), At(0));
  EXPECT_EQ(this->DueAt(20000), "seed");
  AnnounceReply unknown = Reply(2, false);
  unknown.known = false;
  this->announcer.Answered("seed", unknown, At(20000));
  EXPECT_EQ(this->DueAt(20000), "seed!");
}

// An entry that does not record the agent answers within a round trip: announcements without a
// pause would be a busy loop, and none until the next heartbeat left agents unused (review/7).
TEST_F(AnnouncerTest, RepeatsAnAnnouncementThatWasNotRecordedAtGrowingIntervals) {
  AnnounceReply unrecorded = Reply(1, false);
  unrecorded.known = false;
  std::string sent_at;
  for (int ms = 0; ms <= 12000; ms += 100) {
    const std::string due = this->DueAt(ms);
    if (!due.empty()) {
      EXPECT_EQ(due, "seed!");
      sent_at += std::to_string(ms) + " ";
      this->announcer.Answered("seed", unrecorded, At(ms));
    }
  }
  EXPECT_EQ(sent_at, "0 500 1500 3500 7500 11500 ");
  this->DueAt(15500);
  this->announcer.Answered("seed", Reply(1, true), At(15500));
  EXPECT_EQ(this->DueAt(35499), "");
  EXPECT_EQ(this->DueAt(35500), "seed") << "a recorded agent sends heartbeats";
}

// With the intervals of the default configuration, an agent that no entry used was silent for
// 300 s, whatever the entries had forgotten meanwhile (review/7).
TEST_F(AnnouncerTest, AgentThatNoEntryUsesReportsToAllWithinSeconds) {
  this->announcer.AddEntry("other", At(0));
  this->DueAt(0);
  this->announcer.Answered("seed", Reply(1, false), At(0));
  this->announcer.Answered("other", Reply(2, false), At(0));
  EXPECT_EQ(this->DueAt(999), "");
  EXPECT_EQ(this->DueAt(1000), "otherseed");
  this->announcer.Answered("seed", Reply(1, false), At(1000));
  this->announcer.Answered("other", Reply(2, true), At(1000));
  EXPECT_EQ(this->DueAt(20999), "") << "used by one entry";
  EXPECT_EQ(this->DueAt(21000), "other");
  this->announcer.Failed("other", At(21000));
  EXPECT_EQ(this->DueAt(22000), "otherseed") << "the entry that used it is silent";
}

// Agents beyond the subsets of all entries stay without use for good. At 640 agents and a heartbeat
// of each every second, an entry would receive 640 messages a second.
TEST_F(AnnouncerTest, AgentThatStaysUnusedReportsEverMoreSeldom) {
  int messages = 0;
  for (int ms = 0; ms <= 600000; ms += 100) {
    if (!this->DueAt(ms).empty()) {
      ++messages;
      this->announcer.Answered("seed", Reply(1, false), At(ms));
    }
  }
  EXPECT_LE(messages, 26);
  EXPECT_GE(messages, 20);
}

TEST_F(AnnouncerTest, DiscoveredEntryIsToldAtOnceAndDroppedWhenSilent) {
  this->announcer.TakeDue(At(0));
  this->announcer.AddEntry("learned", At(10));
  this->announcer.AddEntry("seed", At(10));
  EXPECT_EQ(this->DueAt(10), "learned!");
  this->announcer.Failed("seed", At(11));
  this->announcer.Failed("learned", At(11));
  EXPECT_EQ(this->DueAt(1010), "");
  EXPECT_EQ(this->DueAt(1011), "learned!seed!") << "failed announcements are retried soon";
  this->announcer.TakeDue(At(60010));
  EXPECT_EQ(this->announcer.Addresses(), std::vector<std::string>{"seed"});
}

// An entry that came back after 66 s with the row that it had before was never announced to again,
// and got no agents (issue 32).
TEST_F(AnnouncerTest, ListedEntryIsNotDroppedHoweverLongItIsSilent) {
  this->announcer.SetListed({"listed", "removed"}, At(0));
  this->DueAt(0);
  this->announcer.Failed("listed", At(0));
  this->announcer.Failed("removed", At(0));
  this->announcer.SetListed({"listed"}, At(30000));
  this->DueAt(600000);
  EXPECT_EQ(this->announcer.Addresses(), (std::vector<std::string>{"listed", "seed"}));
  this->announcer.Failed("listed", At(600000));
  EXPECT_NE(this->DueAt(604000).find("listed!"), std::string::npos);
  this->announcer.SetListed({}, At(605000));
  this->DueAt(605000);
  EXPECT_EQ(this->announcer.Addresses(), std::vector<std::string>{"seed"});
}

// Rows of entries that are gone stay in the table. They must not keep out an entry that is alive.
TEST_F(AnnouncerTest, EntryThatIsSilentForLongGivesItsPlaceToANewOne) {
  std::vector<std::string> listed;
  for (int i = 0; i < 300; ++i) listed.push_back("gone-" + std::to_string(i));
  this->announcer.SetListed(listed, At(0));
  this->announcer.AddEntry("new", At(59999));
  EXPECT_EQ(this->announcer.Addresses().back(), "seed");
  this->announcer.AddEntry("new", At(60000));
  const std::vector<std::string> known = this->announcer.Addresses();
  EXPECT_EQ(known.size(), 256U);
  EXPECT_NE(std::ranges::find(known, "new"), known.end());
}

// An entry that is seldom contacted and therefore seldom answers must not be dropped.
TEST_F(AnnouncerTest, RarelyContactedEntryIsNotDropped) {
  this->announcer.AddEntry("learned", At(0));
  this->DueAt(0);
  this->announcer.Answered("learned", Reply(1, false), At(0));
  this->DueAt(200000);
  EXPECT_EQ(this->announcer.Addresses().size(), 2U);
}

// If the agent exits before the entries know that it is leaving, their starts go unanswered.
TEST_F(AnnouncerTest, LeavingIsKnownOnlyByAnswersToLaterAnnouncements) {
  this->announcer.TakeDue(At(0));
  this->announcer.Leave();
  EXPECT_EQ(this->DueAt(1), "seed!") << "at once, even while another is in flight";
  this->announcer.Answered("seed", Reply(1, true), At(2));
  EXPECT_FALSE(this->announcer.AllKnowOfLeaving());
  this->announcer.Answered("seed", Reply(1, true), At(3));
  EXPECT_TRUE(this->announcer.AllKnowOfLeaving());
}

// Without the states in the log, an entry that cannot record the agent, one that does not answer
// and one that does not use it look the same: nothing but missing tasks (issue 40).
TEST_F(AnnouncerTest, PassesOnEachChangeOfAnEntrysState) {
  std::string states;
  this->announcer.SetStateHook([&states](const std::string& address, Announcer::EntryState state) {
    states += address + "=" + std::string(EntryStateText(state)) + " ";
  });
  AnnounceReply unrecorded = Reply(1, false);
  unrecorded.known = false;
  this->DueAt(0);
  this->announcer.Failed("seed", At(0));
  this->announcer.Failed("seed", At(1000));
  this->announcer.Answered("seed", unrecorded, At(2000));
  this->announcer.Answered("seed", unrecorded, At(3000));
  EXPECT_EQ(this->announcer.EntriesIn(Announcer::EntryState::kUnrecorded), 1U);
  this->announcer.Answered("seed", Reply(1, false), At(4000));
  this->announcer.HandleNotice(Reply(1, true), At(5000));
  this->announcer.Answered("seed", Reply(1, true), At(6000));
  EXPECT_EQ(states, "seed=silent seed=unrecorded seed=recorded seed=member ");
}

TEST(EndpointMonitorTest, IsDownUntilACheckSucceeds) {
  EndpointMonitor monitor;
  EXPECT_FALSE(monitor.IsUp());
  EXPECT_TRUE(monitor.TakeDue(At(0)));
  EXPECT_FALSE(monitor.TakeDue(At(1)));
  EXPECT_FALSE(monitor.CheckCompleted(false, At(2)));
  EXPECT_FALSE(monitor.TakeDue(At(101)));
  EXPECT_TRUE(monitor.TakeDue(At(102)));
  EXPECT_TRUE(monitor.CheckCompleted(true, At(103))) << "the entries have to be told";
  monitor.MarkSuspect(At(200));
  EXPECT_FALSE(monitor.IsUp());
  EXPECT_TRUE(monitor.TakeDue(At(200)));
  EXPECT_FALSE(monitor.CheckCompleted(true, At(201))) << "a short interruption is not announced";
  EXPECT_TRUE(monitor.IsUp());
}

}  // namespace
}  // namespace quetzalvale
