#include "runtime/log_budget.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

const LogBudget::Time kStart{std::chrono::seconds(9)};

// A flood of one event must neither fill the log nor hide other events.
TEST(LogBudgetTest, BoundsEachEventASecond) {
  LogBudget budget(2, 5);
  EXPECT_TRUE(budget.Take(1, false, kStart));
  EXPECT_TRUE(budget.Take(1, false, kStart));
  EXPECT_FALSE(budget.Take(1, false, kStart));
  EXPECT_TRUE(budget.Take(2, false, kStart));
  EXPECT_TRUE(budget.Take(1, false, kStart + std::chrono::seconds(1)));
}

// Successes of an event must not use up the room of its failures.
TEST(LogBudgetTest, WarningsHaveTheirOwnRoom) {
  LogBudget budget(1, 1);
  EXPECT_TRUE(budget.Take(1, false, kStart));
  EXPECT_FALSE(budget.Take(1, false, kStart));
  EXPECT_TRUE(budget.Take(1, true, kStart));
}

TEST(LogBudgetTest, CountsWhatIsLeftOut) {
  LogBudget budget(1, 1);
  for (int i = 0; i < 4; ++i) budget.Take(7, false, kStart);
  const auto left_out = budget.TakeLeftOut(kStart);
  ASSERT_EQ(left_out.size(), 1U);
  EXPECT_EQ(left_out[0].event, 7);
  EXPECT_EQ(left_out[0].lines, 3U);
  EXPECT_TRUE(budget.TakeLeftOut(kStart).empty());
  EXPECT_TRUE(budget.TakeLeftOut(kStart + std::chrono::seconds(1)).empty());
}

}  // namespace
}  // namespace quetzalvale
