#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/policy/quota_table.h"

namespace quetzalvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kQuota = 100;
constexpr milliseconds kStep{50};

/// Several quota tables that exchange reports. Reports are delayed, and lost if the link is cut.
class Exchange {
 public:
  Exchange(std::uint64_t seed, std::size_t entries, milliseconds interval, milliseconds delay)
      : random(seed), interval(interval), delay(delay) {
    for (std::size_t i = 0; i < entries; ++i) this->Join();
  }

  /// Adds an entry, which knows the addresses of all others.
  void Join() {
    Entry entry;
    entry.incarnation = {0, ++this->last_number};
    entry.table = std::make_unique<QuotaTable>();
    entry.table->SetQuota("desk", kQuota);
    entry.known = this->entries.size();
    entry.table->SetUnidentifiedPeers(entry.known, this->now);
    this->entries.push_back(std::move(entry));
  }

  /// Removes an entry. If `announced` is set, the others learn that it is gone.
  void Leave(std::size_t position, bool announced) {
    const Incarnation gone = this->entries[position].incarnation;
    this->entries.erase(this->entries.begin() + static_cast<std::ptrdiff_t>(position));
    for (Entry& entry : this->entries) {
      if (announced) entry.table->ForgetPeer(gone);
    }
  }

  /// Runs for `duration` with the demand per second that `demand` gives for each entry, and returns
  /// the number of tasks granted.
  template <typename Demand>
  double Run(seconds duration, Demand demand) {
    double granted = 0;
    const Time end = this->now + duration;
    for (; this->now < end; this->now += kStep) {
      this->Deliver();
      for (std::size_t i = 0; i < this->entries.size(); ++i) {
        const double rate = demand(i, this->now);
        std::poisson_distribution<int> arrivals(rate * 0.05 + 1e-9);
        for (int n = arrivals(this->random); n > 0; --n) {
          granted += this->entries[i].table->TryTake("desk", 1, this->now) ? 1 : 0;
        }
        this->Report(i);
      }
    }
    return granted;
  }

  std::size_t Size() const { return this->entries.size(); }
  std::mt19937_64& RandomEngine() { return this->random; }

  /// Side of a partition on which each entry is; reports are delivered only within one side.
  std::vector<int> sides;

 private:
  struct Entry {
    Incarnation incarnation;
    std::unique_ptr<QuotaTable> table;
    Time next{};
    std::size_t known = 0;
    std::vector<Incarnation> received_from;
  };
  struct Message {
    Time due;
    Incarnation from;
    Incarnation to;
    double demand;
    bool reply;
  };

  Entry* Find(const Incarnation& incarnation) {
    const auto found = std::ranges::find(this->entries, incarnation, &Entry::incarnation);
    return found == this->entries.end() ? nullptr : &*found;
  }

  bool AreLinked(std::size_t a, std::size_t b) const {
    return a >= this->sides.size() || b >= this->sides.size() || this->sides[a] == this->sides[b];
  }

  void Send(const Incarnation& from, const Incarnation& to, bool reply) {
    const int limit = static_cast<int>(this->delay.count());
    const milliseconds delay(std::uniform_int_distribution<int>(0, limit)(this->random));
    const double demand = this->Find(from)->table->Demand("desk", this->now);
    this->messages.push_back({this->now + delay, from, to, demand, reply});
  }

  void Report(std::size_t position) {
    Entry& entry = this->entries[position];
    entry.table->Expire(this->now);
    if (this->now < entry.next) return;
    entry.next = this->now + this->interval;
    for (const Entry& other : this->entries) {
      if (&other != &entry) this->Send(entry.incarnation, other.incarnation, false);
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(this->messages, [&](const Message& message) {
      if (message.due > this->now) return false;
      due.push_back(message);
      return true;
    });
    for (const Message& message : due) {
      Entry* to = this->Find(message.to);
      Entry* from = this->Find(message.from);
      if (to == nullptr || from == nullptr) continue;
      const auto first = this->entries.data();
      if (!this->AreLinked(static_cast<std::size_t>(to - first),
                           static_cast<std::size_t>(from - first)))
        continue;
      if (std::ranges::find(to->received_from, message.from) == to->received_from.end()) {
        to->received_from.push_back(message.from);
        to->table->SetUnidentifiedPeers(to->known - std::min(to->known, to->received_from.size()),
                                        this->now);
      }
      to->table->AddPeer(message.from, this->now);
      to->table->SetPeerDemand(message.from, "desk", message.demand);
      if (message.reply) {
        to->table->ConfirmPeer(message.from, this->now);
      } else {
        this->Send(message.to, message.from, true);
      }
    }
  }

  std::mt19937_64 random;
  milliseconds interval;
  milliseconds delay;
  Time now = Time{} + seconds(1000);
  std::uint64_t last_number = 0;
  std::vector<Entry> entries;
  std::deque<Message> messages;
};

/// The bound on a burst from docs/design.md, section 6: one second's quota and one task per entry.
double Bound(double seconds, std::size_t entries) {
  return kQuota * seconds + kQuota + static_cast<double>(entries);
}

class QuotaPropertyTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against shares that add up to more than the quota while reports are delayed and demand
// moves from entry to entry, with reports every second or every few seconds.
TEST_P(QuotaPropertyTest, ConnectedEntriesKeepTheQuota) {
  for (const milliseconds interval : {milliseconds(1000), milliseconds(4000)}) {
    Exchange exchange(GetParam(), 6, interval, milliseconds(1500));
    // All entries have exchanged reports before demand starts.
    exchange.Run(seconds(10), [](std::size_t, Time) { return 0.0; });
    std::vector<double> rates(6);
    Time change{};
    const double granted = exchange.Run(seconds(120), [&](std::size_t i, Time now) {
      if (now >= change) {
        // Switches between no demand and demand far above the quota, at all entries at once or at
        // some of them.
        const bool all = std::bernoulli_distribution(0.3)(exchange.RandomEngine());
        for (double& rate : rates) {
          rate = all || std::bernoulli_distribution(0.3)(exchange.RandomEngine()) ? 300 : 0;
        }
        change = now + seconds(std::uniform_int_distribution<int>(1, 25)(exchange.RandomEngine()));
      }
      return rates[i];
    });
    EXPECT_LE(granted, Bound(120, 6)) << "reports every " << interval.count() << " ms";
    // The quota must not be kept by granting nothing.
    EXPECT_GE(granted, kQuota * 120 / 6);
  }
}

// Guards against a partition that multiplies the quota by the number of its sides, for as long as
// it lasts. Twelve minutes exceed the time after which a silent peer may be forgotten.
TEST_P(QuotaPropertyTest, PartitionGrantsLessThanTwiceTheQuota) {
  Exchange exchange(GetParam(), 6, milliseconds(2000), milliseconds(500));
  const auto high_demand = [](std::size_t, Time) { return 100.0; };
  exchange.Run(seconds(30), high_demand);
  std::vector<int> sides(6);
  for (int& side : sides) side = std::uniform_int_distribution<int>(0, 2)(exchange.RandomEngine());
  exchange.sides = sides;
  // Until every entry has noticed the partition.
  EXPECT_LE(exchange.Run(seconds(25), high_demand), 2 * kQuota * 25 + kQuota);
  // The shares of silent peers are kept: together the entries stay within the quota.
  EXPECT_LE(exchange.Run(seconds(500), high_demand), Bound(500, 6));
  // Then the larger side uses the whole quota; the smaller ones keep their equal shares.
  EXPECT_LE(exchange.Run(seconds(300), high_demand), 1.5 * kQuota * 300 + 2 * kQuota);
}

// Guards against entries that use the whole quota while they join, and against several entries that
// each take over the share of a dead one.
TEST_P(QuotaPropertyTest, JoiningAndLeavingAddsABoundedBurst) {
  Exchange exchange(GetParam(), 4, milliseconds(2000), milliseconds(1000));
  const auto high_demand = [](std::size_t, Time) { return 150.0; };
  exchange.Run(seconds(20), high_demand);
  double granted = 0;
  constexpr int kRounds = 8;
  for (int round = 0; round < kRounds; ++round) {
    exchange.Leave(static_cast<std::size_t>(round) % 4, round % 2 == 0);
    granted += exchange.Run(seconds(10), high_demand);
    exchange.Join();
    granted += exchange.Run(seconds(20), high_demand);
  }
  // Every join may add one second's quota.
  EXPECT_LE(granted, Bound(kRounds * 30, 4) + kRounds * kQuota);
  EXPECT_GE(granted, kQuota * kRounds * 30 / 4);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaPropertyTest, testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace quetzalvale
