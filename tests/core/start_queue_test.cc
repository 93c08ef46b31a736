#include "core/policy/start_queue.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzalvale {
namespace {

const Time kStart{std::chrono::seconds(100)};
/// Tasks with this time to deadline overtake after 1 s.
constexpr Milliseconds kDeadline{20000};

StartQueue::Waiting Make(std::uint64_t job, int urgency, Time deadline, std::int64_t expected_us) {
  return {{job, 0}, urgency, "a", kStart, deadline, Microseconds(expected_us)};
}

std::vector<std::uint64_t> Order(const StartQueue& queue) {
  std::vector<std::uint64_t> jobs;
  StartQueue::Walk walk(queue);
  while (const auto task = walk.Next()) jobs.push_back(task->job);
  return jobs;
}

Microseconds Ahead(const StartQueue& queue, int urgency) {
  return queue.WorkAhead({urgency, "a", Microseconds(1000), kStart, Microseconds(0), {}});
}

TEST(StartQueueTest, OrdersByUrgencyThenDeadline) {
  StartQueue queue;
  const Time deadline = kStart + kDeadline;
  queue.Add(Make(1, 1, deadline, 10));
  queue.Add(Make(2, 0, deadline + Milliseconds(5), 20));
  queue.Add(Make(3, 0, deadline, 40));
  EXPECT_EQ(Order(queue), (std::vector<std::uint64_t>{3, 2, 1}));
  EXPECT_EQ(Ahead(queue, 0), Microseconds(60));
  queue.Remove({3, 0});
  queue.Remove({3, 0});
  EXPECT_EQ(Ahead(queue, 1), Microseconds(30));
  EXPECT_EQ(queue.Size(), 2U);
}

// Guards against starvation: a steady stream of urgent tasks would keep less urgent ones waiting
// until their deadline.
TEST(StartQueueTest, LongWaitingTaskOvertakesMoreUrgentOnes) {
  StartQueue queue;
  const Time overtakes_at = StartQueue::OvertakesAt(kStart, kStart + kDeadline);
  EXPECT_EQ(overtakes_at, kStart + kDeadline / 20);
  queue.Add(Make(1, 2, kStart + kDeadline, 10));
  queue.Add(Make(2, 0, kStart + 2 * kDeadline, 20));
  queue.Advance(overtakes_at - Milliseconds(1));
  EXPECT_EQ(Order(queue).front(), 2U);
  // An urgent job that overtakes later than the first task starts after it.
  EXPECT_EQ(Ahead(queue, 0), Microseconds(20));
  const StartQueue::ProspectiveJob late{
      0, "a", Microseconds(1), overtakes_at + Milliseconds(200), Microseconds(0), {}};
  EXPECT_EQ(queue.WorkAhead(late), Microseconds(30));
  queue.Advance(overtakes_at);
  EXPECT_EQ(Order(queue).front(), 1U);
  EXPECT_EQ(queue.WorkAhead({0, "b", Microseconds(30), {}, Microseconds(0), {}}), Microseconds(30));
  queue.Advance(kStart + 2 * kDeadline);
  EXPECT_EQ(Order(queue), (std::vector<std::uint64_t>{1, 2}));
  queue.Take({1, 0});
  queue.Take({2, 0});
  EXPECT_EQ(queue.Size(), 0U);
  EXPECT_EQ(Ahead(queue, 2), Microseconds(0));
}

// Guards against ignoring work of another team that arrives later and starts before the job because
// of its fair share. Jobs of the team with the longer queue would then be accepted and fail at
// their deadlines.
TEST(StartQueueTest, FairSharesBoundTheWorkAhead) {
  StartQueue queue;
  for (std::uint64_t job = 1; job <= 6; ++job) queue.Add(Make(job, 0, kStart + kDeadline, 100));
  queue.Add({{7, 0}, 0, "b", kStart, kStart + kDeadline, Microseconds(50)});
  StartQueue::ProspectiveJob job{0, "c", Microseconds(150), kStart, Microseconds(0), {}};
  EXPECT_EQ(queue.WorkAhead(job), Microseconds(150 + 50));
  // All overtaking work goes first until the job overtakes.
  queue.Advance(kStart + kDeadline);
  job.completed_before_overtaking = Microseconds(400);
  EXPECT_EQ(queue.WorkAhead(job), Microseconds(400));
  StartQueue::ProspectiveJob more{0, "a", Microseconds(100), kStart, Microseconds(0), {}};
  EXPECT_EQ(queue.WorkAhead(more), Microseconds(600 + 50));
  // Arrivals of b are a fifth of the completed work: t = 700 + 50 + t / 5, minus the job's own 100.
  more.arrivals = {{"b", 0.2}};
  EXPECT_NEAR(static_cast<double>(queue.WorkAhead(more).count()), 837, 2);
  // Arrivals of b beyond that get no more than a's share.
  more.arrivals = {{"b", 5}};
  EXPECT_EQ(queue.WorkAhead(more), Microseconds(1300));
}

FairQueue::Item Item(std::uint64_t job, int rank, std::int64_t expected_us) {
  return {kStart + Milliseconds(rank), {job, 0}, Microseconds(expected_us)};
}

/// Takes all tasks in the order of the queue and returns their jobs.
std::vector<std::uint64_t> TakeAll(FairQueue& queue,
                                   const std::vector<std::pair<std::string, FairQueue::Item>>& in) {
  std::vector<std::uint64_t> jobs;
  for (std::size_t i = 0; i < in.size(); ++i) {
    FairQueue::Walk walk(queue);
    const auto task = walk.Next();
    for (const auto& [team, item] : in) {
      if (item.task == *task) queue.Take(team, item);
    }
    jobs.push_back(task->job);
  }
  return jobs;
}

// Guards against a burst of large jobs from one team that delays the jobs of all others until it is
// over.
TEST(FairQueueTest, SharesStartsByWorkAmongTeams) {
  std::vector<std::pair<std::string, FairQueue::Item>> in;
  for (int i = 0; i < 6; ++i) in.emplace_back("a", Item(10 + i, i, 100));
  for (int i = 0; i < 3; ++i) in.emplace_back("b", Item(20 + i, 100 + i, 200));
  FairQueue queue;
  for (const auto& [team, item] : in) queue.Add(team, item);
  std::vector<std::uint64_t> walked;
  FairQueue::Walk walk(queue);
  while (const auto task = walk.Next()) walked.push_back(task->job);
  const std::vector<std::uint64_t> expected{10, 20, 11, 12, 21, 13, 14, 22, 15};
  EXPECT_EQ(walked, expected);
  EXPECT_EQ(TakeAll(queue, in), expected);
  EXPECT_EQ(queue.Work(), Microseconds(0));
}

// Guards against two faults: a team that was idle gets all starts until it has caught up, and a
// team that leaves and returns is no longer charged for its earlier work.
TEST(FairQueueTest, IdleTeamEarnsNoCreditAndKeepsItsCharge) {
  FairQueue queue;
  for (int i = 0; i < 6; ++i) queue.Add("a", Item(10 + i, i, 100));
  for (int i = 0; i < 3; ++i) queue.Take("a", Item(10 + i, i, 100));
  queue.Add("b", Item(20, 0, 500));
  queue.Add("b", Item(21, 1, 500));
  FairQueue::Walk first(queue);
  EXPECT_EQ(first.Next()->job, 20U);
  EXPECT_EQ(first.Next()->job, 13U);
  queue.Take("b", Item(20, 0, 500));
  queue.Remove("b", Item(21, 1, 500));
  queue.Add("b", Item(22, 0, 100));
  FairQueue::Walk second(queue);
  EXPECT_EQ(second.Next()->job, 13U);
  EXPECT_EQ(second.Next()->job, 14U);
}

// Taking tasks during a walk moves their team to a later turn; the walk must not visit the team a
// second time there.
TEST(FairQueueTest, WalkVisitsEachTaskOnceWhileTasksAreTaken) {
  FairQueue queue;
  std::map<TaskRef, std::pair<std::string, FairQueue::Item>> in;
  for (int i = 0; i < 40; ++i) {
    const FairQueue::Item item = Item(i, i % 7, 10 + i % 5);
    const std::string team(1, static_cast<char>('a' + i % 4));
    in.emplace(item.task, std::pair(team, item));
    queue.Add(team, item);
  }
  std::set<TaskRef> walked;
  FairQueue::Walk walk(queue);
  while (const auto task = walk.Next()) {
    EXPECT_TRUE(walked.insert(*task).second);
    const auto& [team, item] = in.at(*task);
    if (task->job % 3 != 0) queue.Take(team, item);
  }
  EXPECT_EQ(walked.size(), in.size());
}

StartQueue::Waiting Scheduled(std::uint64_t job, int urgency, Milliseconds on_time,
                              Milliseconds latest_useful) {
  StartQueue::Waiting waiting = Make(job, urgency, kStart + kDeadline, 10);
  waiting.schedule = StartSchedule{kStart + on_time, kStart + latest_useful};
  return waiting;
}

// Guards against serving everything late in a burst: tasks that can only be late must not start
// before tasks that can still be on time.
TEST(StartQueueTest, LateTasksGoBehindAllOthers) {
  StartQueue queue;
  queue.Add(Scheduled(1, 0, Milliseconds(100), Milliseconds(400)));
  queue.Add(Scheduled(2, 2, Milliseconds(500), Milliseconds(900)));
  EXPECT_EQ(Order(queue), (std::vector<std::uint64_t>{1, 2}));
  queue.Advance(kStart + Milliseconds(101));
  EXPECT_EQ(Order(queue), (std::vector<std::uint64_t>{2, 1}));
}

TEST(StartQueueTest, ScheduledTaskOvertakesShortlyBeforeItWouldBeLate) {
  StartQueue queue;
  queue.Add(Scheduled(1, 2, Milliseconds(100), Milliseconds(400)));
  queue.Add(Scheduled(2, 0, Milliseconds(5000), Milliseconds(9000)));
  queue.Advance(kStart + Milliseconds(79));
  EXPECT_EQ(Order(queue).front(), 2U);
  queue.Advance(kStart + Milliseconds(80));
  EXPECT_EQ(Order(queue).front(), 1U);
}

// Guards against a job whose answer is no longer of use but which waits until its deadline and
// takes capacity from others.
TEST(StartQueueTest, ExpiredTasksAreReturnedOnce) {
  StartQueue queue;
  queue.Add(Scheduled(1, 0, Milliseconds(100), Milliseconds(400)));
  queue.Add(Scheduled(2, 0, Milliseconds(100), Milliseconds(300)));
  queue.Take({2, 0});
  EXPECT_TRUE(queue.TakeExpired(kStart + Milliseconds(399)).empty());
  EXPECT_EQ(queue.TakeExpired(kStart + Milliseconds(400)), (std::vector<TaskRef>{{1, 0}}));
  EXPECT_TRUE(queue.TakeExpired(kStart + Milliseconds(500)).empty());
  queue.Advance(kStart + Milliseconds(500));
  queue.Remove({1, 0});
  EXPECT_EQ(queue.Size(), 0U);
}

}  // namespace
}  // namespace quetzalvale
