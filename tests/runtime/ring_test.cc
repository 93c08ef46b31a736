#include "runtime/ring.h"

#include <gtest/gtest.h>

#include <thread>

namespace quetzalvale {
namespace {

TEST(RingTest, RefusesWhatDoesNotFit) {
  Ring<int> ring(2);
  EXPECT_TRUE(ring.TryPush(1));
  EXPECT_TRUE(ring.TryPush(2));
  EXPECT_FALSE(ring.TryPush(3));
  EXPECT_EQ(ring.Pop(), 1);
  EXPECT_TRUE(ring.TryPush(3));
}

// Items accepted before the ring closed must still be handled, or a shutdown loses work.
TEST(RingTest, CloseKeepsWhatIsInside) {
  Ring<int> ring(4);
  ring.TryPush(1);
  ring.Close();
  EXPECT_FALSE(ring.TryPush(2));
  EXPECT_EQ(ring.Pop(), 1);
  EXPECT_EQ(ring.Pop(), std::nullopt);
}

TEST(RingTest, DeliversEverythingFromSeveralProducers) {
  constexpr int kProducers = 4;
  constexpr int kItems = 1000;
  Ring<int> ring(16);
  std::vector<std::thread> producers;
  for (int producer = 0; producer < kProducers; ++producer) {
    producers.emplace_back([&ring] {
      for (int i = 0; i < kItems; ++i) {
        while (!ring.TryPush(1)) {
          std::this_thread::yield();
        }
      }
    });
  }
  int total = 0;
  while (total < kProducers * kItems) {
    total += ring.Pop().value_or(0);
  }
  for (auto& producer : producers) {
    producer.join();
  }
  EXPECT_EQ(ring.Size(), 0U);
}

}  // namespace
}  // namespace quetzalvale
