#include "core/entry/agent_directory.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace quetzalvale {
namespace {

const Time kStart{std::chrono::seconds(100)};

Announce MakeAnnounce(std::uint64_t number, const std::string& name, const std::string& address,
                      const std::string& centre = "dc") {
  Announce announce;
  announce.agent = {5, number};
  announce.name = name;
  announce.service = "s";
  announce.data_centre = centre;
  announce.address = address;
  announce.worker.slots = 8;
  return announce;
}

TEST(AgentDirectoryTest, IncrementsTheRosterNumberForEachNewMember) {
  AgentDirectory directory({1, 1});
  directory.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart);
  directory.UpdateMembers("s", 64);
  directory.AddOrUpdate(MakeAnnounce(2, "b", "2"), kStart);
  directory.UpdateMembers("s", 64);
  EXPECT_EQ(directory.Find({5, 1})->first_roster, 1U);
  EXPECT_EQ(directory.Find({5, 2})->first_roster, 2U);
  EXPECT_EQ(directory.RosterNumber(), 2U);
}

// If the agent that left were missing from the roster, a job that ran on it could be answered as
// "not run" by another entry.
TEST(AgentDirectoryTest, KeepsRemovedAgentsInTheRoster) {
  AgentDirectory directory({1, 1});
  directory.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart);
  directory.UpdateMembers("s", 64);
  directory.Remove({5, 1}, false, kStart);
  ASSERT_EQ(directory.RosterSince(0).size(), 1U);
  EXPECT_EQ(directory.RosterSince(0).front().end_roster, 2U);
  EXPECT_EQ(directory.CompleteFrom(), 0U);
  directory.Expire(std::chrono::seconds(10), kStart + std::chrono::seconds(10));
  EXPECT_TRUE(directory.RosterSince(0).empty());
  EXPECT_EQ(directory.CompleteFrom(), 2U);
}

// An agent that was declared dead and returns must not serve older tickets, since their salvage
// does not seal it any more. Its old channel sequences are used up.
TEST(AgentDirectoryTest, AssignsANewRosterNumberAndChannelToAReturningAgent) {
  AgentDirectory directory({1, 1});
  Agent* agent = directory.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart);
  directory.UpdateMembers("s", 64);
  EXPECT_EQ(directory.NextChannelSequence(*agent), 1U);
  EXPECT_EQ(directory.NextChannelSequence(*agent), 2U);
  directory.Remove({5, 1}, false, kStart);
  agent = directory.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart);
  directory.UpdateMembers("s", 64);
  EXPECT_EQ(agent->first_roster, 3U);
  EXPECT_EQ(directory.NextChannelSequence(*agent), 3U);
}

// A delayed announcement of a replaced process must not displace the process that has its address
// now.
TEST(AgentDirectoryTest, IgnoresIncarnationsThatWereReplaced) {
  AgentDirectory directory({1, 1});
  directory.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart);
  EXPECT_EQ(directory.FindReplaced(MakeAnnounce(2, "a", "1")), (Incarnation{5, 1}));
  directory.Remove({5, 1}, true, kStart);
  EXPECT_NE(directory.AddOrUpdate(MakeAnnounce(2, "a", "1"), kStart), nullptr);
  EXPECT_EQ(directory.FindReplaced(MakeAnnounce(1, "a", "1")), std::nullopt);
  EXPECT_EQ(directory.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart), nullptr);

  AgentDirectory silent({1, 1});
  silent.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart);
  silent.Remove({5, 1}, false, kStart);
  silent.AddOrUpdate(MakeAnnounce(2, "a", "1"), kStart);
  EXPECT_EQ(silent.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart), nullptr);
}

TEST(AgentDirectoryTest, ChoosesASubsetWithAMinimumPerDataCentre) {
  AgentDirectory directory({1, 1});
  for (std::uint64_t i = 0; i < 100; ++i) {
    const std::string name = std::to_string(i);
    directory.AddOrUpdate(MakeAnnounce(i + 1, name, name, i < 95 ? "large" : "small"), kStart);
  }
  directory.UpdateMembers("s", 16);
  const auto count = [&](const std::string& centre) {
    return std::ranges::count_if(directory.Agents(), [&](const auto& element) {
      return element.second.member && element.second.announce.data_centre == centre;
    });
  };
  EXPECT_EQ(count("large") + count("small"), 16);
  EXPECT_GE(count("small"), 4);
  EXPECT_EQ(directory.RosterNumber(), 16U);
}

TEST(AgentDirectoryTest, BindsAgentsByNamePattern) {
  EXPECT_TRUE(MatchesPattern("zarqa-1", "zarqa-*"));
  EXPECT_FALSE(MatchesPattern("marka-1", "zarqa-*"));
  EXPECT_FALSE(MatchesPattern("zarqa-1", "zarqa-?"));
  AgentDirectory directory({1, 1});
  directory.AddOrUpdate(MakeAnnounce(1, "a", "1"), kStart);
  directory.Bind("s", {"b*"});
  directory.UpdateMembers("s", 64);
  EXPECT_FALSE(directory.Find({5, 1})->member);
}

}  // namespace
}  // namespace quetzalvale
