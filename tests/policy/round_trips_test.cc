#include "core/policy/round_trips.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

const Time kStart{std::chrono::seconds(9)};

void NoteMany(RoundTrips& trips, int count, Milliseconds length) {
  for (int i = 0; i < count; ++i) trips.Note(kStart - length, kStart);
}

// Guards against an entry on a small machine, with slow calls to all agents, that accepts more jobs
// and then answers none.
TEST(RoundTripsTest, MedianShowsAnEntryThatIsShortOfProcessorTime) {
  RoundTrips trips;
  NoteMany(trips, 10, Milliseconds(300));
  EXPECT_EQ(trips.Median(kStart), Milliseconds(300));
}

// A few agents that time out must not make the entry reject jobs for all others.
TEST(RoundTripsTest, FewSlowAgentsDoNotMoveTheMedian) {
  RoundTrips trips;
  NoteMany(trips, 10, Milliseconds(3));
  NoteMany(trips, 4, Milliseconds(2000));
  EXPECT_EQ(trips.Median(kStart), Milliseconds(3));
}

TEST(RoundTripsTest, OldCallsAreForgotten) {
  RoundTrips trips;
  NoteMany(trips, 10, Milliseconds(300));
  EXPECT_EQ(trips.Median(kStart + RoundTrips::kRetention), std::nullopt);
  NoteMany(trips, 2, Milliseconds(300));
  EXPECT_TRUE(trips.Median(kStart));
}

}  // namespace
}  // namespace quetzalvale
