#include <gtest/gtest.h>

#include "core/announcer.h"
#include "core/endpoint_watch.h"
#include "core/lease_keeper.h"
#include "core/outcome_sender.h"
#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

constexpr Time kStart{std::chrono::seconds(100)};

Time At(int ms) { return kStart + Milliseconds(ms); }

TEST(LeaseKeeperTest, RenewsAtAThirdAndTogether) {
  LeaseKeeper leases;
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
  EXPECT_EQ(this->DueAt(49), 2U) << "a full batch waits no longer";
  EXPECT_EQ(this->DueAt(60), 0U) << "one batch at a time";
  this->sender.Acknowledged(kOwnerId, {MakeTask(1), MakeTask(2)}, At(61));
  EXPECT_EQ(this->DueAt(61), 1U);
}

// Without repeats a lost message would lose the outcome.
TEST_F(OutcomeSenderTest, RepeatsWithGrowingPauseUntilAcknowledged) {
  this->sender.Add(MakeTask(1), At(0));
  EXPECT_EQ(this->DueAt(0), 1U);
  this->sender.Failed(kOwnerId, At(0));
  EXPECT_EQ(this->DueAt(99), 0U);
  EXPECT_EQ(this->DueAt(100), 1U);
  this->sender.Failed(kOwnerId, At(100));
  EXPECT_EQ(this->DueAt(299), 0U);
  this->sender.HeardFrom(kOwnerId, "", At(299));
  EXPECT_EQ(this->DueAt(299), 1U) << "a sign of life ends the pause";
  EXPECT_EQ(this->DueAt(40000), 0U) << "counts as a failure, after which there is a pause";
  EXPECT_EQ(this->DueAt(40100), 1U) << "a result that never comes must not stop the delivery";
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

TEST_F(OutcomeSenderTest, SilentOwnerIsGivenUpInTheEnd) {
  this->sender.Add(MakeTask(1), At(0));
  this->sender.Failed(kOwnerId, At(0));
  EXPECT_TRUE(this->sender.GiveUpUnreachable(At(299999)).empty());
  EXPECT_EQ(this->sender.GiveUpUnreachable(At(300000)).size(), 1U);
}

TEST(AnnouncerTest, HeartbeatsOnlyOnIdleChannels) {
  Announcer announcer({"seed"});
  EXPECT_EQ(announcer.TakeDue(At(0)).size(), 1U) << "at once on start";
  announcer.NoteTraffic("seed", At(1));
  announcer.Answered("seed", At(1));
  announcer.NoteTraffic("seed", At(900));
  EXPECT_TRUE(announcer.TakeDue(At(1899)).empty());
  EXPECT_EQ(announcer.TakeDue(At(1900)).size(), 1U);
}

TEST(AnnouncerTest, LearnedEntryIsToldAtOnceAndDroppedWhenSilent) {
  Announcer announcer({"seed"});
  announcer.TakeDue(At(0));
  announcer.Learn("learned", At(10));
  announcer.Learn("seed", At(10));
  EXPECT_EQ(announcer.TakeDue(At(10)), std::vector<std::string>{"learned"});
  announcer.Failed("seed", At(11));
  announcer.Failed("learned", At(11));
  announcer.TakeDue(At(60010));
  EXPECT_EQ(announcer.Addresses(), std::vector<std::string>{"seed"});
}

// An agent that exits before the entries know it leaves their starts without an answer.
TEST(AnnouncerTest, LeavingIsKnownOnlyByAnswersToLaterAnnouncements) {
  Announcer announcer({"seed"});
  announcer.TakeDue(At(0));
  announcer.Leave();
  EXPECT_EQ(announcer.TakeDue(At(1)).size(), 1U) << "at once, even while another is under way";
  announcer.Answered("seed", At(2));
  EXPECT_FALSE(announcer.AllKnowOfLeaving());
  announcer.Answered("seed", At(3));
  EXPECT_TRUE(announcer.AllKnowOfLeaving());
}

TEST(EndpointWatchTest, IsDownUntilACheckSucceeds) {
  EndpointWatch watch;
  EXPECT_FALSE(watch.IsUp());
  EXPECT_TRUE(watch.TakeDue(At(0)));
  EXPECT_FALSE(watch.TakeDue(At(1)));
  EXPECT_FALSE(watch.Checked(false, At(2)));
  EXPECT_FALSE(watch.TakeDue(At(101)));
  EXPECT_TRUE(watch.TakeDue(At(102)));
  EXPECT_TRUE(watch.Checked(true, At(103))) << "the entries have to be told";
  watch.Suspect(At(200));
  EXPECT_FALSE(watch.IsUp());
  EXPECT_TRUE(watch.TakeDue(At(200)));
  EXPECT_FALSE(watch.Checked(true, At(201))) << "a short doubt is no news";
  EXPECT_TRUE(watch.IsUp());
}

}  // namespace
}  // namespace quetzalvale
