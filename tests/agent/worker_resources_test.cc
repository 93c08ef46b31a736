#include "core/policy/worker_resources.h"

#include <gtest/gtest.h>

#include <limits>

#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

TaskSpec Spec(double cores, std::int64_t memory_mb, int accelerators) {
  TaskSpec spec;
  spec.cores = cores;
  spec.memory_mb = memory_mb;
  spec.accelerators = accelerators;
  return spec;
}

// Sums of floating-point cores drift: after many starts, a task that needs the whole worker would
// no longer fit.
TEST(WorkerResourcesTest, GivesBackExactlyWhatWasTaken) {
  WorkerResources resources(WorkerCapacity{100, 100, 1, 1000, 4});
  for (int i = 0; i < 1000; ++i) {
    for (int task = 0; task < 10; ++task) resources.Reserve(DeclaredBy(Spec(0.1, 33, 0)));
    EXPECT_FALSE(resources.FitsNow(DeclaredBy(Spec(0.1, 0, 0))));
    for (int task = 0; task < 10; ++task) resources.Release(DeclaredBy(Spec(0.1, 33, 0)));
  }
  EXPECT_TRUE(resources.FitsNow(DeclaredBy(Spec(1, 1000, 4))));
}

// Declared amounts come from callers. They must not overflow or count as negative.
TEST(WorkerResourcesTest, BoundsDeclaredAmounts) {
  constexpr auto kMost = std::numeric_limits<std::int64_t>::max();
  const WorkerResources limited(WorkerCapacity{1, 1, 16, 1000, 0});
  for (const TaskSpec& spec :
       {Spec(std::numeric_limits<double>::infinity(), 0, 0), Spec(1e300, 0, 0), Spec(0, kMost, 0),
        Spec(0, 0, std::numeric_limits<int>::max())}) {
    EXPECT_FALSE(limited.EverFits(DeclaredBy(spec)));
  }
  const Resources least = DeclaredBy(Spec(-5, -5, -5));
  EXPECT_EQ(least, (Resources{1, 0, 0, 0}));
}

TEST(WorkerResourcesTest, UnstatedCapacityLimitsAcceleratorsButNotCoresAndMemory) {
  const WorkerResources resources(WorkerCapacity{1, 1, 0, 0, 0});
  EXPECT_TRUE(resources.EverFits(DeclaredBy(Spec(64, 1 << 20, 0))));
  EXPECT_FALSE(resources.EverFits(DeclaredBy(Spec(0, 0, 1))));
}

/// An agent whose worker has 8 slots, 4 cores, 8000 MB and 2 accelerators.
class SharedWorkerTest : public testing::Test {
 protected:
  SharedWorkerTest() : core(Identity(), {kOwnerAddress}) { this->Handle(EndpointChecked{true}); }

  static AgentIdentity Identity() {
    AgentIdentity identity = MakeIdentity(8);
    identity.worker = {8, 8, 4, 8000, 2};
    return identity;
  }

  std::vector<AgentAction> Handle(const AgentEvent& event, int ms_later = 1) {
    this->now += Milliseconds(ms_later);
    return this->core.Handle(this->now, event);
  }

  /// Starts a task with this ticket sequence. Returns whether it was started, queued or refused.
  std::string Start(std::uint64_t task, const TaskSpec& spec) {
    StartRequest request = MakeStart(++this->sequence, {MakeTask(task)});
    request.items[0].spec = spec;
    const auto actions = this->Handle(StartReceived{1, request});
    this->load = Select<ReplyStart>(actions).at(0).reply.load;
    if (Select<ReplyStart>(actions).at(0).reply.decisions.at(0) != StartRefusal::kNone) {
      return "refused";
    }
    return Select<StartOnEndpoint>(actions).empty() ? "queued" : "started";
  }

  /// Ends the task and returns the tasks that start as a result.
  std::vector<TaskKey> Finish(std::uint64_t task) {
    std::vector<TaskKey> started;
    const Outcome outcome{MakeTask(task), true, "", "1", Microseconds(5)};
    for (const auto& start :
         Select<StartOnEndpoint>(this->Handle(EndpointFinished{MakeTask(task), outcome}))) {
      started.push_back(start.task);
    }
    return started;
  }

  AgentCore core;
  Time now{std::chrono::seconds(100)};
  std::uint64_t sequence = 0;
  AgentLoad load;
};

// Unless declared resources are added up, tasks that each fit alone share accelerators that the
// worker does not have.
TEST_F(SharedWorkerTest, DispatchesOnlyWhatFitsBesideTheRunningTasks) {
  EXPECT_EQ(this->Start(1, Spec(1, 4000, 2)), "started");
  EXPECT_EQ(this->load.free_slots, 7);
  EXPECT_EQ(this->load.free_cores, 3);
  EXPECT_EQ(this->load.free_memory_mb, 4000);
  EXPECT_EQ(this->load.free_accelerators, 0);
  EXPECT_EQ(this->Start(2, Spec(0, 0, 1)), "queued");
  EXPECT_EQ(this->Start(3, Spec(0, 4001, 0)), "queued");
  EXPECT_EQ(this->Start(4, Spec(4, 0, 0)), "refused");
  // A full queue does not keep out a task that fits now.
  EXPECT_EQ(this->Start(5, Spec(3, 0, 0)), "started");
  EXPECT_EQ(this->Finish(1), (std::vector{MakeTask(2), MakeTask(3)}));
}

TEST_F(SharedWorkerTest, RefusesWhatNeverFits) {
  EXPECT_EQ(this->Start(1, Spec(0, 0, 3)), "refused");
  EXPECT_EQ(this->Start(2, Spec(4.5, 0, 0)), "refused");
}

// Without the reservation, a stream of small tasks keeps a large one waiting until its deadline.
TEST_F(SharedWorkerTest, BypassingIsBounded) {
  std::uint64_t task = 0;
  EXPECT_EQ(this->Start(++task, Spec(1, 0, 0)), "started");
  const std::uint64_t large = 1000;
  EXPECT_EQ(this->Start(large, Spec(4, 0, 0)), "queued");
  int bypasses = 0;
  while (this->Start(++task, Spec(1, 0, 0)) == "started" && bypasses < 100) {
    ++bypasses;
    EXPECT_TRUE(this->Finish(task - 1).empty());
  }
  EXPECT_EQ(bypasses, 8);
  EXPECT_EQ(this->load.free_cores, 0);
  // A task that needs no cores does not delay the large one.
  EXPECT_EQ(this->Start(2000, Spec(0, 100, 1)), "started");
  const std::vector<TaskKey> started = this->Finish(task - 1);
  ASSERT_FALSE(started.empty());
  EXPECT_EQ(started.front(), MakeTask(large));
}

// The worker may run a task whose connection broke until the lease expires.
TEST_F(SharedWorkerTest, BrokenConnectionFreesResourcesOnlyAfterTheLease) {
  EXPECT_EQ(this->Start(1, Spec(0, 0, 2)), "started");
  this->Handle(EndpointFinished{MakeTask(1), Error{ErrorKind::kTimeout, "broken"}});
  this->Handle(EndpointChecked{true});
  EXPECT_EQ(this->Start(2, Spec(0, 0, 1)), "queued");
  EXPECT_TRUE(Select<StartOnEndpoint>(this->Handle(Tick{}, 2900)).empty());
  EXPECT_EQ(Select<StartOnEndpoint>(this->Handle(Tick{}, 200)).size(), 1U);
}

// Usage figures are out of date when they arrive, so they must not change the free resources.
TEST_F(SharedWorkerTest, UsageIsLoggedOnceAndFreesNothing) {
  EXPECT_EQ(this->Start(1, Spec(2, 1000, 2)), "started");
  EXPECT_EQ(Select<PollUsage>(this->Handle(Tick{}, 2100)).size(), 1U);
  const AgentLoad before = this->core.CurrentLoad();
  const auto idle = this->Handle(UsageReported{{{MakeTask(1), 0, 0, 0}}});
  EXPECT_TRUE(Select<LogEvent>(idle).empty());
  const auto over = this->Handle(UsageReported{{{MakeTask(1), 2, 1001, 2}}});
  ASSERT_EQ(Select<LogEvent>(over).size(), 1U);
  EXPECT_EQ(Select<LogEvent>(over)[0].number, 2024);
  EXPECT_TRUE(Select<LogEvent>(this->Handle(UsageReported{{{MakeTask(1), 4, 0, 0}}})).empty());
  EXPECT_EQ(this->core.CurrentLoad().free_accelerators, before.free_accelerators);
  EXPECT_EQ(this->core.CurrentLoad().free_cores, before.free_cores);
  this->Finish(1);
  EXPECT_TRUE(Select<PollUsage>(this->Handle(Tick{}, 60000)).empty());
}

// Polls whose answers have nothing to be compared with were a third of the wasted messages on
// rabaryog.
TEST_F(SharedWorkerTest, UsageIsNotPolledWithoutDeclaredResources) {
  EXPECT_EQ(this->Start(1, Spec(0, 0, 0)), "started");
  EXPECT_TRUE(Select<PollUsage>(this->Handle(Tick{}, 10000)).empty());
  EXPECT_TRUE(Select<LogEvent>(this->Handle(UsageReported{{{MakeTask(1), 1, 1, 0}}})).empty());
  EXPECT_EQ(this->Start(2, Spec(0, 100, 0)), "started");
  EXPECT_EQ(Select<PollUsage>(this->Handle(Tick{}, 2100)).size(), 1U);
}

}  // namespace
}  // namespace quetzalvale
