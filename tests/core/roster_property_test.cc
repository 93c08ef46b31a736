#include <gtest/gtest.h>

#include <set>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

constexpr Incarnation kOwner{1, 1};
constexpr const char* kOwnerAddress = "owner";
constexpr const char* kReaderAddress = "reader";
constexpr int kAddresses = 12;

/// An owner whose agents are replaced at random, and a reader that receives its roster over a
/// faulty link. Every roster that the reader considers complete is compared with the agents that
/// the owner really used.
class RosterLink {
 public:
  explicit RosterLink(std::uint64_t seed) : random(seed) {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = "s";
    configuration->version = 1;
    configuration->tickets.valid = std::chrono::seconds(2);
    configuration->tickets.answer_kept = std::chrono::seconds(2);
    this->Handle(ConfigurationChanged{configuration});
  }

  void Step(bool faulty) {
    this->now += Milliseconds(20);
    this->Handle(Tick{});
    const int choice = this->RandomBelow(100);
    if (faulty && choice < 10) {
      this->ReplaceAgent(this->RandomBelow(kAddresses));
    } else if (faulty && choice < 11) {
      this->RestartReader();
    } else if (choice < 25) {
      this->ToOwner({HelloReceived{1, this->ReaderHello()}}, faulty);
    }
    const bool link_down = faulty && this->now < this->link_down_until;
    if (faulty && choice == 99 && this->RandomBelow(10) == 0) {
      this->link_down_until = this->now + std::chrono::seconds(this->RandomBelow(10));
    }
    for (int i = 0; i < 3 && !this->in_transit.empty(); ++i) {
      // While the link is faulty, messages are reordered at random.
      const auto chosen =
          faulty ? this->in_transit.begin() + this->RandomBelow(this->in_transit.size())
                 : this->in_transit.begin();
      auto deliver = std::move(*chosen);
      this->in_transit.erase(chosen);
      if (!link_down) deliver();
    }
    this->Check();
  }

  /// Whether the reader has the owner's current roster.
  bool IsUpToDate() const { return this->RosterOf(this->RosterNumber()).complete; }
  std::uint64_t RosterNumber() const { return this->owner.Status(this->now).roster_number; }

  std::uint64_t complete_rosters = 0;
  std::uint64_t changes_applied = 0;
  std::uint64_t full_rosters_applied = 0;

 private:
  struct UsePeriod {
    Incarnation agent;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
  };

  int RandomBelow(std::size_t limit) { return static_cast<int>(this->random() % limit); }

  void Handle(const EntryEvent& event) {
    for (const EntryAction& action : this->owner.Handle(this->now, event)) {
      if (const auto* hello = std::get_if<SendHello>(&action)) {
        this->ToReader(hello->message, true);
      } else if (const auto* reply = std::get_if<ReplyHello>(&action)) {
        this->ToReader(reply->reply, false);
      }
    }
  }

  void ToReader(const Hello& hello, bool answer) {
    const int copies = this->RandomBelow(10) == 0 ? 0 : this->RandomBelow(10) == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      this->in_transit.emplace_back([this, hello, answer] { this->ApplyHello(hello, answer); });
    }
    if (answer && copies == 0) {
      this->ToOwner(HelloReplied{kReaderAddress, Error{ErrorKind::kTimeout, "lost"}}, false);
    }
  }

  void ToOwner(EntryEvent event, bool may_be_lost) {
    if (!may_be_lost || this->RandomBelow(10) != 0) {
      this->in_transit.emplace_back([this, event = std::move(event)] { this->Handle(event); });
    }
  }

  void ApplyHello(const Hello& hello, bool answer) {
    if (this->reader.RecordMessage(hello.entry, this->now) != nullptr) {
      const std::uint64_t before = this->reader.Find(kOwner)->roster_number;
      this->reader.ApplyHello(hello, this->now);
      const bool applied = this->reader.Find(kOwner)->roster_number > before;
      this->changes_applied += applied && hello.roster_base != 0 ? 1 : 0;
      this->full_rosters_applied += applied && hello.roster_base == 0 ? 1 : 0;
    }
    if (answer) {
      this->ToOwner(HelloReplied{kReaderAddress, this->ReaderHello()}, false);
    }
  }

  Hello ReaderHello() const {
    Hello hello;
    hello.entry = this->self;
    if (const Peer* peer = this->reader.Find(kOwner)) {
      hello.seen_roster = peer->roster_number;
      hello.seen_digest = peer->digest;
    }
    return hello;
  }

  void RestartReader() {
    ++this->self.incarnation.low;
    this->reader = PeerTable(this->self, {});
  }

  void ReplaceAgent(int address) {
    Announce announce;
    announce.agent = {5, ++this->last_agent};
    announce.name = announce.address = "agent" + std::to_string(address);
    announce.service = "s";
    announce.worker.slots = 1;
    const std::uint64_t before = this->RosterNumber();
    this->Handle(AgentAnnounced{2, announce});
    const std::uint64_t current_number = this->RosterNumber();
    if (this->at[address] != 0) {
      this->use_periods.at(this->at[address] - 1).end = current_number - 1;
    }
    EXPECT_EQ(current_number, before + (this->at[address] == 0 ? 1 : 2));
    this->use_periods.push_back({announce.agent, current_number, 0});
    this->at[address] = this->use_periods.size();
  }

  PeerTable::RosterView RosterOf(std::uint64_t roster) const {
    return this->reader.RosterFor({"s", kOwner, 1, roster});
  }

  void Check() {
    const std::uint64_t current_number = this->RosterNumber();
    for (std::uint64_t roster = current_number > 40 ? current_number - 40 : 1;
         roster <= current_number; ++roster) {
      const auto view = this->RosterOf(roster);
      if (!view.complete) continue;
      ++this->complete_rosters;
      std::set<Incarnation> reported;
      for (const RosterItem& item : view.agents) reported.insert(item.agent);
      std::set<Incarnation> expected;
      for (const UsePeriod& agent : this->use_periods) {
        if (agent.first <= roster && (agent.end == 0 || roster < agent.end)) {
          expected.insert(agent.agent);
        }
      }
      ASSERT_EQ(reported, expected) << "roster " << roster << " of " << current_number;
    }
  }

  Random random;
  Time now{std::chrono::seconds(1000)};
  Time link_down_until{};
  EntryInfo self{{2, 1}, kReaderAddress, "dc"};
  PeerTable reader{self, {}};
  EntryCore owner{{kOwner, kOwnerAddress, "dc"}, {"s"}, {kReaderAddress}, 1};
  std::vector<std::function<void()>> in_transit;
  std::vector<UsePeriod> use_periods;
  std::map<int, std::size_t> at;
  std::uint64_t last_agent = 0;
};

// If a roster with a gap counted as complete, a salvage could answer "not run" for a task that ran.
// Hellos are lost, duplicated, reordered, and delayed for longer than removed agents are kept.
TEST(RosterPropertyTest, ARosterWithAGapNeverCountsAsComplete) {
  std::uint64_t complete_rosters = 0;
  std::uint64_t changes = 0;
  std::uint64_t full_rosters = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RosterLink link(seed);
    for (int step = 0; step < 3000 && !testing::Test::HasFatalFailure(); ++step) {
      link.Step(true);
    }
    for (int step = 0; step < 1500 && !testing::Test::HasFatalFailure(); ++step) {
      link.Step(false);
    }
    ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed;
    EXPECT_TRUE(link.IsUpToDate()) << "seed " << seed;
    complete_rosters += link.complete_rosters;
    changes += link.changes_applied;
    full_rosters += link.full_rosters_applied;
  }
  // Checks that the random schedules reached the cases in question.
  EXPECT_GT(complete_rosters, 100000U);
  EXPECT_GT(changes, 1000U);
  EXPECT_GT(full_rosters, 100U);
}

}  // namespace
}  // namespace quetzalvale
