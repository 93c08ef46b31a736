#include "entry/core_thread.h"

#include <gtest/gtest.h>

#include <future>

#include "runtime/clock.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::size_t kMaxWaitingBytes = 100000;

JobSubmitted JobOf(std::size_t tasks) {
  JobSubmitted job;
  job.submission.service = "s";
  job.submission.name = "00000000000000a1";
  job.submission.tasks.resize(tasks);
  return job;
}

// Up to 16,384 jobs waited for the decision logic whatever they took, so that a burst of large ones
// used up the memory of the machine (review/15).
TEST(CoreThreadTest, MemoryOfWaitingJobsIsBounded) {
  SystemClock clock;
  std::promise<void> release;
  std::promise<void> entered;
  std::atomic<bool> blocks{true};
  const auto released = release.get_future().share();
  CoreThread thread(
      EntryCore({{1, 1}, "self", "dc"}, {"s"}, {}, 1), clock,
      [&](Time, const EntryEvent& event, const std::vector<EntryAction>&) {
        if (std::holds_alternative<JobCancelled>(event) && blocks.exchange(false)) {
          entered.set_value();
          released.wait_for(kTestTimeout);
        }
      },
      kMaxWaitingBytes);
  thread.Start();
  // The thread stands still in the handling of this event.
  ASSERT_TRUE(thread.PostRequest(JobCancelled{}));
  ASSERT_EQ(entered.get_future().wait_for(kTestTimeout), std::future_status::ready);
  std::size_t taken = 0;
  while (taken < 1000 && thread.PostRequest(JobOf(100))) {
    ++taken;
  }
  EXPECT_GT(taken, 0U);
  EXPECT_LE(taken * 100 * sizeof(TaskSpec), kMaxWaitingBytes);
  EXPECT_TRUE(thread.PostRequest(JobCancelled{})) << "what ends jobs is still taken";
  release.set_value();
  // Handled after all jobs that wait.
  std::promise<void> handled;
  ASSERT_TRUE(thread.PostStatusRequest([&](const EntryStatus&) { handled.set_value(); }));
  ASSERT_EQ(handled.get_future().wait_for(kTestTimeout), std::future_status::ready);
  EXPECT_TRUE(thread.PostRequest(JobOf(100))) << "handled jobs no longer count";
  EXPECT_FALSE(thread.PostRequest(JobOf(2000))) << "one job can be too large";
  thread.Stop();
}

}  // namespace
}  // namespace quetzalvale
