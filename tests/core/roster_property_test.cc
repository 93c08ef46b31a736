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

/// An owner whose agents come and go, and a reader that learns its roster over a faulty link. What
/// the reader takes for complete is compared with what the owner did.
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
    const int what = this->Below(100);
    if (faulty && what < 10) {
      this->ReplaceAgent(this->Below(kAddresses));
    } else if (faulty && what < 11) {
      this->RestartReader();
    } else if (what < 25) {
      this->ToOwner({HelloReceived{1, this->ReaderHello()}}, faulty);
    }
    const bool stuck = faulty && this->now < this->cut_until;
    if (faulty && what == 99 && this->Below(10) == 0) {
      this->cut_until = this->now + std::chrono::seconds(this->Below(10));
    }
    for (int i = 0; i < 3 && !this->transit.empty(); ++i) {
      // Any message may be next, whatever the order of sending.
      const auto chosen = faulty ? this->transit.begin() + this->Below(this->transit.size())
                                 : this->transit.begin();
      auto deliver = std::move(*chosen);
      this->transit.erase(chosen);
      if (!stuck) deliver();
    }
    this->Check();
  }

  /// Whether the reader holds the owner's present roster.
  bool IsUpToDate() const { return this->View(this->Number()).complete; }
  std::uint64_t Number() const { return this->owner.Status(this->now).roster_number; }

  std::uint64_t complete_views = 0;
  std::uint64_t changes_taken = 0;
  std::uint64_t whole_taken = 0;

 private:
  struct Used {
    Incarnation agent;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
  };

  int Below(std::size_t limit) { return static_cast<int>(this->random() % limit); }

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
    const int copies = this->Below(10) == 0 ? 0 : this->Below(10) == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      this->transit.emplace_back([this, hello, answer] { this->Read(hello, answer); });
    }
    if (answer && copies == 0) {
      this->ToOwner(HelloReplied{kReaderAddress, Error{ErrorKind::kTimeout, "lost"}}, false);
    }
  }

  void ToOwner(EntryEvent event, bool may_be_lost) {
    if (!may_be_lost || this->Below(10) != 0) {
      this->transit.emplace_back([this, event = std::move(event)] { this->Handle(event); });
    }
  }

  void Read(const Hello& hello, bool answer) {
    if (this->reader.RecordMessage(hello.entry, this->now) != nullptr) {
      const std::uint64_t before = this->reader.Find(kOwner)->roster_number;
      this->reader.ApplyHello(hello, this->now);
      const bool taken = this->reader.Find(kOwner)->roster_number > before;
      this->changes_taken += taken && hello.roster_base != 0 ? 1 : 0;
      this->whole_taken += taken && hello.roster_base == 0 ? 1 : 0;
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
    const std::uint64_t before = this->Number();
    this->Handle(AgentAnnounced{2, announce});
    const std::uint64_t number = this->Number();
    if (this->at[address] != 0) {
      this->used.at(this->at[address] - 1).end = number - 1;
    }
    EXPECT_EQ(number, before + (this->at[address] == 0 ? 1 : 2));
    this->used.push_back({announce.agent, number, 0});
    this->at[address] = this->used.size();
  }

  PeerTable::RosterView View(std::uint64_t roster) const {
    return this->reader.RosterFor({"s", kOwner, 1, roster});
  }

  void Check() {
    const std::uint64_t number = this->Number();
    for (std::uint64_t roster = number > 40 ? number - 40 : 1; roster <= number; ++roster) {
      const auto view = this->View(roster);
      if (!view.complete) continue;
      ++this->complete_views;
      std::set<Incarnation> seen;
      for (const RosterItem& item : view.agents) seen.insert(item.agent);
      std::set<Incarnation> truth;
      for (const Used& agent : this->used) {
        if (agent.first <= roster && (agent.end == 0 || roster < agent.end)) {
          truth.insert(agent.agent);
        }
      }
      ASSERT_EQ(seen, truth) << "roster " << roster << " of " << number;
    }
  }

  Random random;
  Time now{std::chrono::seconds(1000)};
  Time cut_until{};
  EntryInfo self{{2, 1}, kReaderAddress, "dc"};
  PeerTable reader{self, {}};
  EntryCore owner{{kOwner, kOwnerAddress, "dc"}, {"s"}, {kReaderAddress}, 1};
  std::vector<std::function<void()>> transit;
  std::vector<Used> used;
  std::map<int, std::size_t> at;
  std::uint64_t last_agent = 0;
};

// A salvager that takes a roster with a gap for complete would say "not run" of a task that ran.
// Hellos are lost, repeated, reordered and held back for longer than departed agents are kept.
TEST(RosterPropertyTest, ARosterFromChangesIsNeverTakenForCompleteWithAGap) {
  std::uint64_t complete_views = 0;
  std::uint64_t changes = 0;
  std::uint64_t whole = 0;
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
    complete_views += link.complete_views;
    changes += link.changes_taken;
    whole += link.whole_taken;
  }
  // The schedule is worthless if it does not reach the paths in question.
  EXPECT_GT(complete_views, 100000U);
  EXPECT_GT(changes, 1000U);
  EXPECT_GT(whole, 100U);
}

}  // namespace
}  // namespace quetzalvale
