#include "core/agent/channel_window.h"

#include <gtest/gtest.h>

#include "core/agent/channel_table.h"

namespace quetzalvale {
namespace {

// A start message accepted twice would run its tasks twice.
TEST(ChannelWindowTest, AcceptsEachSequenceOnceInAnyOrder) {
  ChannelWindow window;
  for (const std::uint64_t sequence : {5U, 0U, 4095U, 3U, 9000U, 8999U}) {
    EXPECT_TRUE(window.Accept(sequence)) << sequence;
    EXPECT_FALSE(window.Accept(sequence)) << sequence;
  }
}

// A duplicate that is delayed until its sequence has left the window must not be accepted.
TEST(ChannelWindowTest, RefusesSequencesBelowTheWindow) {
  ChannelWindow window;
  EXPECT_TRUE(window.Accept(ChannelWindow::kSize));
  EXPECT_FALSE(window.Accept(0));
  EXPECT_TRUE(window.Accept(1));
  EXPECT_TRUE(window.Accept(3 * ChannelWindow::kSize));
  EXPECT_FALSE(window.Accept(2 * ChannelWindow::kSize));
  EXPECT_TRUE(window.Accept(2 * ChannelWindow::kSize + 1));
}

// The start that was withdrawn may still be in flight.
TEST(ChannelWindowTest, MarkedSequenceIsRefusedLater) {
  ChannelWindow window;
  window.MarkUsed(7);
  EXPECT_FALSE(window.Accept(7));
  EXPECT_TRUE(window.Accept(6));
  EXPECT_FALSE(window.Accept(UINT64_MAX));
}

// Removing an owner must not make its old sequences acceptable again.
TEST(ChannelTableTest, ClosedOwnerIsRefused) {
  ChannelTable table([](const Incarnation& owner) { return owner.low != 1; },
                     ChannelTable::Limits{2, 1});
  EXPECT_TRUE(table.Accept({0, 1}, 1, Time(Milliseconds(1))));
  EXPECT_TRUE(table.Accept({0, 2}, 1, Time(Milliseconds(2))));
  EXPECT_TRUE(table.Accept({0, 3}, 1, Time(Milliseconds(3))));
  EXPECT_EQ(table.TakeClosed(), std::vector<Incarnation>{Incarnation({0, 2})});
  EXPECT_FALSE(table.Accept({0, 2}, 2, Time(Milliseconds(4))));
  EXPECT_TRUE(table.Accept({0, 1}, 2, Time(Milliseconds(4))));
  EXPECT_FALSE(table.Accept({0, 4}, 1, Time(Milliseconds(5))))
      << "closed owners must not be removed";
  EXPECT_EQ(table.OpenOwnerCount(), 2U);
}

}  // namespace
}  // namespace quetzalvale
