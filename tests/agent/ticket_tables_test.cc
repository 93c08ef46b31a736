#include <gtest/gtest.h>

#include "core/agent/sealed_tickets.h"
#include "core/agent/started_tickets.h"
#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

// A task whose record was discarded must not be reported as not run.
TEST(StartedTicketsTest, ReturnsMaybeBelowTheWatermark) {
  StartedTickets started(3);
  for (std::uint64_t sequence = 10; sequence < 15; ++sequence) {
    started.Record(MakeTask(sequence));
  }
  EXPECT_EQ(started.Size(), 3U);
  EXPECT_EQ(started.Query(MakeTask(10)), StartedStatus::kMaybe);
  EXPECT_EQ(started.Query(MakeTask(11, 5)), StartedStatus::kMaybe);
  EXPECT_EQ(started.Query(MakeTask(12)), StartedStatus::kStarted);
  EXPECT_EQ(started.Query(MakeTask(12, 1)), StartedStatus::kNever);
  EXPECT_EQ(started.Query(MakeTask(99)), StartedStatus::kNever);
}

// One busy owner must not push the others out of the history.
TEST(StartedTicketsTest, RaisesTheWatermarkOfTheLargestOwnerOnly) {
  StartedTickets started(3);
  started.Record(MakeTask(1, 0, {5, 5}));
  for (std::uint64_t sequence = 1; sequence < 9; ++sequence) {
    started.Record(MakeTask(sequence));
  }
  EXPECT_EQ(started.Query(MakeTask(1, 0, {5, 5})), StartedStatus::kStarted);
  started.CloseOwner({5, 5});
  EXPECT_EQ(started.Query(MakeTask(77, 0, {5, 5})), StartedStatus::kMaybe);
}

TEST(StartedTicketsTest, ForgetsTasksThatTheEndpointRefused) {
  StartedTickets started;
  started.Record(MakeTask(1, 0));
  started.Record(MakeTask(1, 1));
  started.Forget(MakeTask(1, 1));
  EXPECT_EQ(started.CountOf(MakeTask(1).ticket), 1U);
  EXPECT_EQ(started.Query(MakeTask(1, 1)), StartedStatus::kNever);
}

// If a seal were removed, a task could start after salvage has answered for it.
TEST(SealedTicketsTest, OverflowSealsMoreAndNeverLess) {
  SealedTickets sealed(SealedTickets::Limits{4, 6, 3});
  std::vector<Ticket> tickets;
  for (std::uint64_t owner = 1; owner <= 5; ++owner) {
    for (std::uint64_t sequence = 0; sequence < owner + 1; ++sequence) {
      tickets.push_back(MakeTask(sequence, 0, {owner, owner}).ticket);
      sealed.Seal(tickets.back());
      for (const auto& ticket : tickets) {
        ASSERT_TRUE(sealed.IsSealed(ticket)) << ticket.Text();
      }
    }
    ASSERT_LE(sealed.Size(), 6U);
  }
  EXPECT_TRUE(sealed.AllSealed());
}

TEST(SealedTicketsTest, OtherTicketsAreNotSealed) {
  SealedTickets sealed;
  sealed.Seal(MakeTask(5).ticket);
  EXPECT_FALSE(sealed.IsSealed(MakeTask(6).ticket));
  EXPECT_FALSE(sealed.IsSealed(MakeTask(5, 0, {9, 9}).ticket));
}

}  // namespace
}  // namespace quetzalvale
