#include "core/entry/peer_table.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "core/entry/answer_outbox.h"
#include "core/entry/forward_table.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

const EntryInfo kSelf{{1, 1}, "self", "dc"};
const EntryInfo kPeer{{1, 2}, "peer", "dc"};
const Time kStart{seconds(100)};

Hello MakeHello(std::uint64_t roster_number) {
  Hello hello;
  hello.entry = kPeer;
  hello.roster_number = roster_number;
  hello.roster = {{"s", {5, 1}, "a", 1, 0}, {"s", {5, 2}, "b", 2, 4}, {"s", {5, 3}, "c", 5, 0}};
  return hello;
}

// The proof of "not run" needs exactly the agents that the owner can have used for the ticket.
TEST(PeerTableTest, RosterListsTheAgentsThatATicketCanHaveUsed) {
  PeerTable peers(kSelf, {});
  peers.RecordMessage(kPeer, kStart);
  Hello hello = MakeHello(5);
  hello.complete_from = 2;
  peers.ApplyHello(hello, kStart);
  const auto at = [&](std::uint64_t roster) {
    return peers.RosterFor({"s", kPeer.incarnation, 1, roster});
  };
  EXPECT_FALSE(at(1).complete);
  EXPECT_TRUE(at(3).complete);
  EXPECT_EQ(at(3).agents.size(), 2U);
  EXPECT_EQ(at(4).agents.size(), 1U);
  EXPECT_TRUE(at(5).complete);
  EXPECT_FALSE(at(6).complete);
  EXPECT_FALSE(peers.RosterFor({"s", {9, 9}, 1, 1}).complete);
}

TEST(PeerTableTest, IgnoresTheRosterOfADelayedHello) {
  PeerTable peers(kSelf, {});
  peers.RecordMessage(kPeer, kStart);
  peers.ApplyHello(MakeHello(5), kStart);
  peers.ApplyHello(MakeHello(4), kStart);
  peers.ApplyHello(MakeHello(0), kStart);
  EXPECT_EQ(peers.Find(kPeer.incarnation)->roster_number, 5U);
}

TEST(PeerTableTest, KeepsTheRosterOfAReplacedEntry) {
  PeerTable peers(kSelf, {});
  peers.RecordMessage(kPeer, kStart);
  peers.ApplyHello(MakeHello(5), kStart);
  peers.RecordMessage({{1, 3}, "peer", "dc"}, kStart);
  EXPECT_FALSE(peers.IsAlive(kPeer.incarnation, seconds(10), kStart));
  EXPECT_TRUE(peers.RosterFor({"s", kPeer.incarnation, 1, 5}).complete);
  // A delayed hello of the old process must not reclaim the address.
  EXPECT_EQ(peers.RecordMessage(kPeer, kStart), nullptr);
  EXPECT_TRUE(peers.IsAlive({1, 3}, seconds(10), kStart));
}

// Forwards and cancellations to the process that had this entry's address before would return to
// this entry in an endless loop.
TEST(PeerTableTest, AcceptsNoPeerAtItsOwnAddress) {
  PeerTable peers(kSelf, {"self"});
  EXPECT_EQ(peers.RecordMessage({{1, 9}, "self", "dc"}, kStart), nullptr);
  EXPECT_EQ(peers.Find({1, 9}), nullptr);
  EXPECT_TRUE(peers.TakeDue(seconds(1), kStart).empty());
}

// Roster changes that do not start at the stored roster number would leave a gap, which makes the
// proof of "not run" invalid.
TEST(PeerTableTest, AppliesRosterChangesOnlyWithoutAGap) {
  PeerTable peers(kSelf, {});
  peers.RecordMessage(kPeer, kStart);
  Hello changes = MakeHello(7);
  changes.roster_base = 5;
  changes.roster = {{"s", {5, 3}, "c", 5, 6}, {"s", {5, 4}, "d", 7, 0}};
  EXPECT_FALSE(peers.ApplyHello(changes, kStart)) << "no roster is stored yet";
  EXPECT_FALSE(peers.RosterFor({"s", kPeer.incarnation, 1, 7}).complete);
  EXPECT_TRUE(peers.ApplyHello(MakeHello(5), kStart));
  EXPECT_TRUE(peers.ApplyHello(changes, kStart));
  EXPECT_TRUE(peers.ApplyHello(changes, kStart)) << "repeated";
  const auto roster = peers.RosterFor({"s", kPeer.incarnation, 1, 7});
  EXPECT_TRUE(roster.complete);
  EXPECT_EQ(roster.agents.size(), 2U) << "a and d; b ended at 4 and c at 6";
  EXPECT_EQ(peers.RosterFor({"s", kPeer.incarnation, 1, 5}).agents.size(), 2U) << "a and c";
}

// With a hello to every peer in each interval, traffic would grow with the number of entries.
TEST(PeerTableTest, RotatesAndSendsToAllOnRequest) {
  PeerTable peers(kSelf, {"a", "b", "c"});
  const auto due = [&](int s) {
    const auto addresses = peers.TakeDue(seconds(1), kStart + seconds(s));
    for (const auto& address : addresses) {
      peers.OnHelloResult(address, true, kStart + seconds(s));
    }
    return addresses;
  };
  using Addresses = std::vector<std::string>;
  EXPECT_EQ(due(0).size(), 3U) << "new addresses are due at once";
  EXPECT_EQ(due(1), Addresses{"a"});
  EXPECT_TRUE(due(1).empty());
  EXPECT_EQ(due(2), Addresses{"b"});
  EXPECT_EQ(due(3), Addresses{"c"});
  peers.PrioritizeHello("c");
  EXPECT_EQ(due(4), Addresses{"c"});
  peers.RequestHelloToAll();
  EXPECT_EQ(due(4).size(), 3U);
}

// In a large deployment messages of a peer are rarer, but a dead peer must still be detected soon.
TEST(PeerTableTest, SuspectedPeerGetsAHelloAtOnceAndIsDeclaredDeadSooner) {
  PeerTable peers(kSelf, {"peer", "b", "c", "d"});
  for (const auto& address : peers.TakeDue(seconds(1), kStart)) {
    peers.OnHelloResult(address, true, kStart);
  }
  peers.RecordMessage(kPeer, kStart);
  const auto alive = [&](int s) {
    return peers.IsAlive(kPeer.incarnation, seconds(10), kStart + seconds(s));
  };
  EXPECT_TRUE(alive(11)) << "three rounds of four peers";
  EXPECT_FALSE(alive(12));
  peers.Suspect(kPeer.incarnation, kStart + seconds(8));
  EXPECT_TRUE(alive(10));
  EXPECT_FALSE(alive(11));
  const auto due = peers.TakeDue(seconds(1), kStart + seconds(8));
  EXPECT_NE(std::ranges::find(due, "peer"), due.end());
  peers.RecordReply(kPeer, kStart + seconds(9));
  EXPECT_TRUE(alive(18));
}

TEST(PeerTableTest, FollowsSuccessions) {
  PeerTable peers(kSelf, {});
  peers.AddSuccession({{9, 1}, {{9, 2}, "x", "dc"}}, true);
  peers.AddSuccession({{9, 2}, kPeer}, true);
  EXPECT_EQ(peers.FindSuccessor({9, 1}), kPeer);
  EXPECT_EQ(peers.FindSuccessor({9, 3}), std::nullopt);
}

// An answer is resent until it is acknowledged, or until the time limit.
TEST(AnswerOutboxTest, ResendsUntilAcknowledged) {
  AnswerOutbox outbox;
  outbox.Add(kPeer, 7, {}, kStart);
  EXPECT_EQ(outbox.TakeDue(kStart).size(), 1U);
  EXPECT_TRUE(outbox.TakeDue(kStart + seconds(1)).empty());
  outbox.ScheduleRetry(kPeer.incarnation, 7, kStart);
  EXPECT_EQ(outbox.TakeDue(kStart + seconds(1)).size(), 1U);
  outbox.Discard(kPeer.incarnation, 7);
  EXPECT_TRUE(outbox.IsEmpty());
  outbox.Add(kPeer, 8, {}, kStart);
  EXPECT_TRUE(outbox.TakeDue(kStart + seconds(60)).empty());
  EXPECT_TRUE(outbox.IsEmpty());
}

TEST(ForwardTableTest, RetriesWithABackoff) {
  ForwardTable forwards;
  Forward& forward = *forwards.Add(1, {}, kStart + seconds(9), kStart);
  EXPECT_EQ(forwards.DueRequests(kStart).size(), 1U);
  forwards.MarkSent(forward, kPeer.incarnation, kStart);
  EXPECT_TRUE(forwards.DueRequests(kStart + seconds(1)).empty());
  forwards.ScheduleRetry(forward, kStart);
  EXPECT_TRUE(forwards.DueRequests(kStart + Milliseconds(99)).empty());
  EXPECT_EQ(forwards.DueRequests(kStart + Milliseconds(100)).size(), 1U);
  EXPECT_TRUE(forwards.Take(1));
  EXPECT_TRUE(forwards.IsEmpty());
}

}  // namespace
}  // namespace quetzalvale
