#include "core/policy/arrival_rates.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time{} + seconds(1000);

/// Adds 200 ms of work every 100 ms, which keeps two slots busy.
void AddTwoSlots(ArrivalRates& rates, int urgency, Time from, int tenths) {
  for (int i = 0; i < tenths; ++i) {
    rates.Add(urgency, milliseconds(200), from + milliseconds(100 * i));
  }
}

// Guards against counting equally or less urgent work, which does not overtake the job.
TEST(ArrivalRatesTest, CountsOnlyMoreUrgentWork) {
  ArrivalRates rates;
  AddTwoSlots(rates, 1, kStart, 300);
  const Time now = kStart + seconds(30);
  EXPECT_EQ(rates.SlotsAhead(0, now), 0);
  EXPECT_EQ(rates.SlotsAhead(1, now), 0);
  EXPECT_NEAR(rates.SlotsAhead(2, now), 2, 0.1);
}

// Guards against an average that starts from zero, which would detect an overload at the start too
// late.
TEST(ArrivalRatesTest, KnowsTheRateSoonAfterTheStart) {
  ArrivalRates rates;
  AddTwoSlots(rates, 0, kStart, 20);
  EXPECT_NEAR(rates.SlotsAhead(1, kStart + seconds(2)), 2, 0.2);
}

TEST(ArrivalRatesTest, FirstArrivalDoesNotGiveAnUnboundedRate) {
  ArrivalRates rates;
  EXPECT_EQ(rates.SlotsAhead(1, kStart), 0);
  rates.Add(0, milliseconds(200), kStart);
  EXPECT_LT(rates.SlotsAhead(1, kStart), 0.3);
}

TEST(ArrivalRatesTest, ForgetsABurst) {
  ArrivalRates rates;
  AddTwoSlots(rates, 0, kStart, 100);
  EXPECT_LT(rates.SlotsAhead(1, kStart + seconds(40)), 0.05);
}

}  // namespace
}  // namespace quetzalvale
