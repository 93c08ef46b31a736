#include "runtime/event_loop.h"

#include <gtest/gtest.h>

#include <future>
#include <stdexcept>
#include <vector>

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kTickPeriod{1};

// The handler of a full loop that waited for room in its own ring would never end.
TEST(EventLoopTest, HandlerPostsResultsWhileTheRingIsFull) {
  std::promise<void> go_on;
  std::vector<int> handled;
  EventLoop<int>* posting = nullptr;
  EventLoop<int> loop(
      2, kTickPeriod,
      [&](int event) {
        if (event == 0) {
          go_on.get_future().wait();
          posting->PostResult(10);
          posting->PostResult(11);
        }
        handled.push_back(event);
      },
      [] {});
  posting = &loop;
  loop.Start();
  loop.PostResult(0);
  // The event 0 is taken out of the ring before the ring is full.
  loop.PostResult(1);
  loop.PostResult(2);
  go_on.set_value();
  loop.Stop();
  EXPECT_EQ(handled, (std::vector<int>{0, 10, 11, 1, 2}));
}

// Requests that fill the ring would keep out the results that end the work under way.
TEST(EventLoopTest, RequestsLeaveRoomForResults) {
  EventLoop<int> loop(
      4, kTickPeriod, [](int) {}, [] {});
  EXPECT_TRUE(loop.PostRequest(1));
  EXPECT_TRUE(loop.PostRequest(2));
  EXPECT_FALSE(loop.PostRequest(3));
  EXPECT_TRUE(loop.Post(4));
  loop.Start();
  loop.Stop();
  EXPECT_FALSE(loop.PostRequest(5));
  loop.PostResult(6);
}

TEST(EventLoopTest, StopHandlesWhatWasPosted) {
  int sum = 0;
  EventLoop<int> loop(
      8, kTickPeriod, [&sum](int event) { sum += event; }, [] {});
  loop.PostResult(1);
  loop.PostResult(2);
  loop.Start();
  loop.Stop();
  EXPECT_EQ(sum, 3);
}

// One message that meets an unexpected error must not end the thread, and with it the process.
TEST(EventLoopTest, ExceptionCostsOneEvent) {
  std::vector<int> handled;
  const std::uint64_t errors = UnexpectedErrors();
  EventLoop<int> loop(
      8, kTickPeriod,
      [&](int event) {
        if (event == 1) throw std::runtime_error("unexpected");
        if (event == 2) throw 2;
        handled.push_back(event);
      },
      [] {});
  for (int event = 0; event < 4; ++event) {
    EXPECT_TRUE(loop.Post(event));
  }
  loop.Start();
  loop.Stop();
  EXPECT_EQ(handled, (std::vector<int>{0, 3}));
  EXPECT_EQ(UnexpectedErrors(), errors + 2);
}

}  // namespace
}  // namespace quetzalvale
