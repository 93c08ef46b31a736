#include "core/policy/retry_budget.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

int SpendAll(RetryBudget& budget) {
  int spent = 0;
  while (spent < 100000 && budget.TrySpend()) ++spent;
  return spent;
}

// Guards against unlimited repeated placements, with which refusals would multiply messages under
// overload.
TEST(RetryBudgetTest, EarnsAShareOfFirstPlacements) {
  RetryBudget budget(0.1);
  SpendAll(budget);
  for (int i = 0; i < 200; ++i) budget.Earn();
  EXPECT_EQ(SpendAll(budget), 20);
}

// Guards against a long quiet period that accumulates an unlimited number of repeats.
TEST(RetryBudgetTest, ReserveIsBounded) {
  RetryBudget budget(0.5);
  for (int i = 0; i < 100000; ++i) budget.Earn();
  EXPECT_EQ(SpendAll(budget), 100);
}

// A new process must be able to place the tasks again that a leaving agent refuses.
TEST(RetryBudgetTest, StartsWithItsReserveUnlessRepeatsAreOff) {
  RetryBudget on(0.2);
  EXPECT_EQ(SpendAll(on), 100);
  RetryBudget off(0);
  EXPECT_FALSE(off.TrySpend());
  off.SetShare(0.2);
  EXPECT_TRUE(off.TrySpend());
  off.SetShare(0);
  EXPECT_FALSE(off.TrySpend());
}

}  // namespace
}  // namespace quetzalvale
