#include "core/policy/return_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Time kNow{seconds(1000)};

void Serve(ReturnSchedule& schedule, Time when, int jobs) {
  for (int job = 0; job < jobs; ++job) {
    schedule.NoteServed(when);
  }
}

TEST(ReturnScheduleTest, SingleCallerComesBackAfterASecond) {
  ReturnSchedule schedule;
  EXPECT_EQ(schedule.Next(kNow), seconds(1));
}

// Guards against a second burst: callers that are all assigned the same second would retry
// together.
TEST(ReturnScheduleTest, CallersOfABurstReturnInTheOrderOfTheirRejection) {
  ReturnSchedule schedule;
  Serve(schedule, kNow - seconds(1), 200);
  std::map<seconds, int> told;
  seconds before{0};
  for (int caller = 0; caller < 300; ++caller) {
    const seconds pause = schedule.Next(kNow);
    EXPECT_GE(pause, before);
    before = pause;
    ++told[pause];
  }
  EXPECT_EQ(told.size(), 6U);
  EXPECT_EQ(told[seconds(1)], 50);
  EXPECT_EQ(told[seconds(6)], 50);
}

TEST(ReturnScheduleTest, LongBurstIsSpreadEvenlyOverTheLongestPause) {
  ReturnSchedule schedule;
  std::map<seconds, int> told;
  for (int caller = 0; caller < 800; ++caller) {
    ++told[schedule.Next(kNow)];
  }
  EXPECT_EQ(told.size(), 8U);
  for (const auto& [pause, callers] : told) {
    EXPECT_EQ(callers, 100) << pause.count() << " s";
  }
}

TEST(ReturnScheduleTest, PastSecondsMakeRoomAgain) {
  ReturnSchedule schedule;
  for (int caller = 0; caller < 5; ++caller) {
    EXPECT_EQ(schedule.Next(kNow), seconds(1));
  }
  EXPECT_EQ(schedule.Next(kNow), seconds(2));
  EXPECT_EQ(schedule.Next(kNow + seconds(2)), seconds(1));
}

}  // namespace
}  // namespace quetzalvale
