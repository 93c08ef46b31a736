#include "core/agent/channel_window.h"

#include <gtest/gtest.h>

#include "core/agent/channel_table.h"

namespace quetzalvale {
namespace {

// A start that arrives twice would run its tasks twice.
TEST(ChannelWindowTest, AcceptsEachSequenceOnceInAnyOrder) {
  ChannelWindow window;
  for (const std::uint64_t sequence : {5U, 0U, 4095U, 3U, 9000U, 8999U}) {
    EXPECT_TRUE(window.Accept(sequence)) << sequence;
    EXPECT_FALSE(window.Accept(sequence)) << sequence;
  }
}

// A duplicate delayed for so long that its mark left the window must not start anything.
TEST(ChannelWindowTest, RefusesWhatIsBelowTheWindow) {
  ChannelWindow window;
  EXPECT_TRUE(window.Accept(ChannelWindow::kSize));
  EXPECT_FALSE(window.Accept(0));
  EXPECT_TRUE(window.Accept(1));
  EXPECT_TRUE(window.Accept(3 * ChannelWindow::kSize));
  EXPECT_FALSE(window.Accept(2 * ChannelWindow::kSize));
  EXPECT_TRUE(window.Accept(2 * ChannelWindow::kSize + 1));
}

// The withdrawn start may still be under way.
TEST(ChannelWindowTest, MarkedSequenceIsRefusedLater) {
  ChannelWindow window;
  window.MarkUsed(7);
  EXPECT_FALSE(window.Accept(7));
  EXPECT_TRUE(window.Accept(6));
  EXPECT_FALSE(window.Accept(UINT64_MAX));
}

// Forgetting an owner must not make its old sequences acceptable again.
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
      << "no closed owner may be forgotten";
  EXPECT_EQ(table.OpenOwnerCount(), 2U);
}

}  // namespace
}  // namespace quetzalvale
