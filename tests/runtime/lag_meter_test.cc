#include "runtime/lag_meter.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;

const LagMeter::Time kStart{std::chrono::seconds(9)};

// An entry that is short of processor time must see it at once, and go on taking jobs soon after.
TEST(LagMeterTest, KeepsTheLongestWaitForAWhile) {
  LagMeter meter;
  meter.Note(kStart, kStart + milliseconds(80));
  meter.Note(kStart + milliseconds(80), kStart + milliseconds(85));
  EXPECT_EQ(meter.Longest(kStart + milliseconds(100)), milliseconds(80));
  EXPECT_EQ(meter.Longest(kStart + milliseconds(190)), milliseconds(80));
  EXPECT_EQ(meter.Longest(kStart + milliseconds(400)), milliseconds(0));
}

TEST(LagMeterTest, LaterShortWaitsReplaceIt) {
  LagMeter meter;
  meter.Note(kStart, kStart + milliseconds(80));
  for (int i = 1; i <= 4; ++i) {
    const auto time = kStart + milliseconds(80) + LagMeter::kWindow * i;
    meter.Note(time - milliseconds(2), time);
  }
  EXPECT_EQ(meter.Longest(kStart + milliseconds(500)), milliseconds(2));
}

}  // namespace
}  // namespace quetzalvale
