#include "core/policy/retry_after_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Time kNow{seconds(1000)};

void Serve(RetryAfterSchedule& schedule, Time when, int jobs) {
  for (int job = 0; job < jobs; ++job) {
    schedule.NoteServed(when);
  }
}

TEST(RetryAfterScheduleTest, SingleCallerComesBackAfterASecond) {
  RetryAfterSchedule schedule;
  EXPECT_EQ(schedule.Next(kNow), seconds(1));
}

// Guards against a second burst: callers that are all assigned the same second would retry
// together.
TEST(RetryAfterScheduleTest, CallersOfABurstReturnInTheOrderOfTheirRejection) {
  RetryAfterSchedule schedule;
  Serve(schedule, kNow - seconds(1), 200);
  std::map<seconds, int> assigned;
  seconds previous{0};
  for (int caller = 0; caller < 300; ++caller) {
    const seconds delay = schedule.Next(kNow);
    EXPECT_GE(delay, previous);
    previous = delay;
    ++assigned[delay];
  }
  EXPECT_EQ(assigned.size(), 6U);
  EXPECT_EQ(assigned[seconds(1)], 50);
  EXPECT_EQ(assigned[seconds(6)], 50);
}

TEST(RetryAfterScheduleTest, LongBurstIsSpreadEvenlyOverTheMaximumDelay) {
  RetryAfterSchedule schedule;
  std::map<seconds, int> assigned;
  for (int caller = 0; caller < 800; ++caller) {
    ++assigned[schedule.Next(kNow)];
  }
  EXPECT_EQ(assigned.size(), 8U);
  for (const auto& [delay, callers] : assigned) {
    EXPECT_EQ(callers, 100) << delay.count() << " s";
  }
}

TEST(RetryAfterScheduleTest, PastSecondsFreeCapacity) {
  RetryAfterSchedule schedule;
  for (int caller = 0; caller < 5; ++caller) {
    EXPECT_EQ(schedule.Next(kNow), seconds(1));
  }
  EXPECT_EQ(schedule.Next(kNow), seconds(2));
  EXPECT_EQ(schedule.Next(kNow + seconds(2)), seconds(1));
}

}  // namespace
}  // namespace quetzalvale
