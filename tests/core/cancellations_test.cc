#include "core/entry/cancellations.h"

#include <gtest/gtest.h>

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kPeer{1, 1};
constexpr Incarnation kOther{1, 2};

class CancellationsTest : public testing::Test {
 protected:
  std::vector<std::string> Tell(const Incarnation& peer) {
    const auto batch = this->cancellations.TakeDue(peer, this->now);
    if (batch) this->cancellations.OnReplied(peer, batch->last, true);
    return batch ? batch->names : std::vector<std::string>{};
  }

  Time now{seconds(100)};
  Cancellations cancellations;
};

// A message for each cancellation would cost an entry more than the jobs.
TEST_F(CancellationsTest, APeerIsToldInBatches) {
  this->cancellations.Add("a", true, this->now);
  EXPECT_EQ(this->Tell(kPeer), std::vector<std::string>{"a"});
  this->cancellations.Add("b", true, this->now);
  this->cancellations.Add("c", true, this->now);
  EXPECT_TRUE(this->Tell(kPeer).empty()) << "told a moment ago";
  this->now += Cancellations::kInterval;
  EXPECT_EQ(this->Tell(kPeer), (std::vector<std::string>{"b", "c"}));
  this->now += Cancellations::kInterval;
  EXPECT_TRUE(this->Tell(kPeer).empty());
}

// An entry that has just started, or was cut off, must learn of what it missed.
TEST_F(CancellationsTest, ANewPeerIsToldAllThatIsRemembered) {
  this->cancellations.Add("a", true, this->now);
  this->Tell(kPeer);
  this->now += Cancellations::kMaxAge - seconds(1);
  this->cancellations.Add("b", true, this->now);
  EXPECT_EQ(this->Tell(kOther), (std::vector<std::string>{"a", "b"}));
  this->now += seconds(2);
  this->cancellations.Expire(this->now);
  EXPECT_FALSE(this->cancellations.Contains("a"));
  EXPECT_TRUE(this->cancellations.Contains("b"));
  this->cancellations.ForgetPeer(kOther);
  EXPECT_EQ(this->Tell(kOther), std::vector<std::string>{"b"});
}

// Two messages on their way at once would tell the same twice.
TEST_F(CancellationsTest, ALostBatchIsToldAgain) {
  this->cancellations.Add("a", true, this->now);
  const auto lost = this->cancellations.TakeDue(kPeer, this->now);
  ASSERT_TRUE(lost);
  this->now += seconds(1);
  EXPECT_FALSE(this->cancellations.TakeDue(kPeer, this->now)) << "still on its way";
  this->cancellations.OnReplied(kPeer, lost->last, false);
  this->cancellations.Add("b", true, this->now);
  EXPECT_EQ(this->Tell(kPeer), (std::vector<std::string>{"a", "b"}));
}

// Only the entry that the caller asked tells others: passing it on would multiply the messages.
TEST_F(CancellationsTest, WhatAnotherEntryToldIsNotPassedOn) {
  this->cancellations.Add("a", false, this->now);
  EXPECT_TRUE(this->cancellations.Contains("a"));
  EXPECT_FALSE(this->cancellations.HasOwn());
  EXPECT_TRUE(this->Tell(kPeer).empty());
}

TEST_F(CancellationsTest, NumberAndBatchAreBounded) {
  for (std::size_t i = 0; i < Cancellations::kMaxCount + 10; ++i) {
    this->cancellations.Add(std::to_string(i), true, this->now);
  }
  EXPECT_EQ(this->cancellations.Size(), Cancellations::kMaxCount);
  EXPECT_FALSE(this->cancellations.Contains("9")) << "the oldest are forgotten first";
  EXPECT_TRUE(this->cancellations.Contains("10"));
  std::size_t told = 0;
  while (told < Cancellations::kMaxCount) {
    const std::size_t size = this->Tell(kPeer).size();
    ASSERT_GT(size, 0U);
    ASSERT_LE(size, Cancellations::kMaxNames);
    told += size;
    this->now += Cancellations::kInterval;
  }
  EXPECT_TRUE(this->Tell(kPeer).empty());
}

// A job cancelled twice is forgotten only with the later cancellation.
TEST_F(CancellationsTest, ASecondCancellationCountsFromItsOwnTime) {
  this->cancellations.Add("a", true, this->now);
  this->now += seconds(10);
  this->cancellations.Add("a", false, this->now);
  this->now += seconds(10);
  this->cancellations.Expire(this->now);
  EXPECT_TRUE(this->cancellations.Contains("a"));
  EXPECT_EQ(this->cancellations.Size(), 1U);
}

}  // namespace
}  // namespace quetzalvale
