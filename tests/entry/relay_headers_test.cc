#include "entry/relay_headers.h"

#include <gtest/gtest.h>

#include "entry/peer_clocks.h"

namespace quetzalvale {
namespace {

const Time kNow{std::chrono::hours(100)};

// An entry that was suspended read a job seconds after another entry had handed it on, and ran it
// beside the copy that its caller had submitted meanwhile.
TEST(RelayHeadersTest, RequestIsAcceptedOnlyForAWhile) {
  const std::string limit = FormatHeaderTime(kNow + kRelayAcceptWindow);
  EXPECT_EQ(SendTimeIfAccepted(limit, kNow), kNow);
  EXPECT_EQ(SendTimeIfAccepted(limit, kNow + kRelayAcceptWindow - Milliseconds(1)), kNow);
  EXPECT_EQ(SendTimeIfAccepted(limit, kNow + kRelayAcceptWindow), std::nullopt);
}

// After a restart of the machine its clock starts anew; a limit on the old clock would hold for
// good.
TEST(RelayHeadersTest, LimitFurtherAheadThanTheWindowIsNotAccepted) {
  const std::string limit = FormatHeaderTime(kNow + kRelayAcceptWindow);
  EXPECT_EQ(SendTimeIfAccepted(limit, kNow - Milliseconds(1)), std::nullopt);
}

TEST(RelayHeadersTest, RequestWithoutAReadableLimitIsNotAccepted) {
  for (const char* text : {"", "x", "-1", "1x", "99999999999999999999", "9223372036854775807"}) {
    EXPECT_EQ(ParseHeaderTime(text), std::nullopt) << text;
    EXPECT_EQ(SendTimeIfAccepted(text, kNow), std::nullopt) << text;
  }
}

TEST(PeerClocksTest, EstimateGoesOnFromTheLastReading) {
  PeerClocks clocks;
  EXPECT_EQ(clocks.Estimate("a", kNow), std::nullopt);
  clocks.Record("a", kNow + Milliseconds(500), kNow);
  EXPECT_EQ(clocks.Estimate("a", kNow + Milliseconds(20)), kNow + Milliseconds(520));
  clocks.Record("a", Time(Milliseconds(3)), kNow + Milliseconds(30));
  EXPECT_EQ(clocks.Estimate("a", kNow + Milliseconds(31)), Time(Milliseconds(4)))
      << "the clock of a restarted machine starts anew";
}

}  // namespace
}  // namespace quetzalvale
