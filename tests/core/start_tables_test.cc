#include <gtest/gtest.h>

#include "core/entry/job_table.h"
#include "core/entry/start_batcher.h"
#include "core/entry/withdraw_queue.h"

namespace quetzalvale {
namespace {

const Time kStart{std::chrono::seconds(100)};
constexpr Incarnation kAgent{5, 1};

TEST(StartBatcherTest, SendsWhenDueOrFull) {
  StartBatcher batcher;
  batcher.Add(kAgent, {1, 0}, kStart, Microseconds(500), 3);
  batcher.Add(kAgent, {1, 1}, kStart, Microseconds(500), 3);
  EXPECT_TRUE(batcher.TakeDue(kStart).empty());
  batcher.Remove(kAgent, {1, 0});
  const auto due = batcher.TakeDue(kStart + Microseconds(500));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due.front().tasks.size(), 1U);
  for (std::uint32_t i = 0; i < 7; ++i) {
    batcher.Add(kAgent, {2, i}, kStart, Microseconds(500), 3);
  }
  EXPECT_EQ(batcher.TakeDue(kStart).size(), 3U);
  EXPECT_TRUE(batcher.IsEmpty());
}

// Repeating a withdrawal on every tick would add load to an agent that is already slow.
TEST(WithdrawQueueTest, BacksOffWhileTheAgentIsSilent) {
  WithdrawQueue queue;
  queue.Add({1, 0}, false, kStart);
  ASSERT_TRUE(queue.TakeBatch(kStart));
  EXPECT_FALSE(queue.TakeBatch(kStart + Milliseconds(10)));
  queue.OnFailed(kStart);
  EXPECT_FALSE(queue.TakeBatch(kStart + Milliseconds(49)));
  ASSERT_TRUE(queue.TakeBatch(kStart + Milliseconds(50)));
  queue.OnFailed(kStart + Milliseconds(50));
  EXPECT_FALSE(queue.TakeBatch(kStart + Milliseconds(149)));
  EXPECT_TRUE(queue.TakeBatch(kStart + Milliseconds(150)));
}

// A cancellation that arrives while a withdrawal without stop is in flight must still stop the
// task.
TEST(WithdrawQueueTest, SendsAStopRequestedWhileAMessageIsInFlight) {
  WithdrawQueue queue;
  queue.Add({1, 0}, false, kStart);
  EXPECT_FALSE(queue.TakeBatch(kStart)->stop_running);
  queue.Add({1, 0}, true, kStart);
  queue.OnAnswered({{1, 0}}, kStart);
  EXPECT_TRUE(queue.TakeBatch(kStart)->stop_running);
  queue.OnAnswered({{1, 0}}, kStart);
  EXPECT_FALSE(queue.TakeBatch(kStart + Milliseconds(100)));
  queue.Remove({1, 0});
  EXPECT_FALSE(queue.TakeBatch(kStart + std::chrono::seconds(60)));
}

TEST(JobTableTest, FindsJobsByTicketAndTime) {
  JobTable jobs;
  Job fresh;
  fresh.ticket = {"s", {1, 1}, 1, 1};
  fresh.deadline = kStart;
  fresh.tasks.resize(2);
  fresh.tasks[0].spec.payload = "12345";
  Job& job = jobs.Add(fresh);
  EXPECT_EQ(jobs.Find(fresh.ticket), &job);
  // A different roster number makes it a different ticket.
  EXPECT_EQ(jobs.Find(Ticket{"s", {1, 1}, 1, 2}), nullptr);
  EXPECT_EQ(jobs.PayloadBytes(), std::string("12345null").size());
  EXPECT_EQ(jobs.Due(kStart).size(), 1U);
  jobs.SetDue(job, kStart + Milliseconds(500));
  EXPECT_TRUE(jobs.Due(kStart).empty());
  jobs.MarkAnswered(job);
  EXPECT_EQ(jobs.Unanswered("s"), 0U);
  EXPECT_EQ(jobs.PayloadBytes(), 0U);
  EXPECT_TRUE(jobs.Due(kStart + Milliseconds(500)).empty());
  const std::uint64_t id = job.id;
  jobs.Remove(id);
  EXPECT_EQ(jobs.Find(fresh.ticket), nullptr);
  EXPECT_EQ(jobs.Size(), 0U);
}

}  // namespace
}  // namespace quetzalvale
