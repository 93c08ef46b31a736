#include <gtest/gtest.h>

#include "core/agent/sealed_tickets.h"
#include "core/agent/started_tickets.h"
#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

// A task whose record was discarded must not be reported as not run.
TEST(StartedTicketsTest, BelowTheFloorTheAnswerIsMaybe) {
  StartedTickets started(3);
  for (std::uint64_t sequence = 10; sequence < 15; ++sequence) {
    started.Note(MakeTask(sequence));
  }
  EXPECT_EQ(started.Size(), 3U);
  EXPECT_EQ(started.Ask(MakeTask(10)), StartedAnswer::kMaybe);
  EXPECT_EQ(started.Ask(MakeTask(11, 5)), StartedAnswer::kMaybe);
  EXPECT_EQ(started.Ask(MakeTask(12)), StartedAnswer::kStarted);
  EXPECT_EQ(started.Ask(MakeTask(12, 1)), StartedAnswer::kNever);
  EXPECT_EQ(started.Ask(MakeTask(99)), StartedAnswer::kNever);
}

// One busy owner must not take the memory of the others.
TEST(StartedTicketsTest, RaisesTheFloorOfTheLargestOwnerOnly) {
  StartedTickets started(3);
  started.Note(MakeTask(1, 0, {5, 5}));
  for (std::uint64_t sequence = 1; sequence < 9; ++sequence) {
    started.Note(MakeTask(sequence));
  }
  EXPECT_EQ(started.Ask(MakeTask(1, 0, {5, 5})), StartedAnswer::kStarted);
  started.CloseOwner({5, 5});
  EXPECT_EQ(started.Ask(MakeTask(77, 0, {5, 5})), StartedAnswer::kMaybe);
}

TEST(StartedTicketsTest, ForgetsWhatTheEndpointRefused) {
  StartedTickets started;
  started.Note(MakeTask(1, 0));
  started.Note(MakeTask(1, 1));
  started.Forget(MakeTask(1, 1));
  EXPECT_EQ(started.CountOf(MakeTask(1).ticket), 1U);
  EXPECT_EQ(started.Ask(MakeTask(1, 1)), StartedAnswer::kNever);
}

// A forgotten seal would let a task start after salvage has answered for it.
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

TEST(SealedTicketsTest, OtherTicketsStayOpen) {
  SealedTickets sealed;
  sealed.Seal(MakeTask(5).ticket);
  EXPECT_FALSE(sealed.IsSealed(MakeTask(6).ticket));
  EXPECT_FALSE(sealed.IsSealed(MakeTask(5, 0, {9, 9}).ticket));
}

}  // namespace
}  // namespace quetzalvale
