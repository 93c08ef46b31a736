#include <gtest/gtest.h>

#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

constexpr Incarnation kSelf{1, 1};
constexpr Incarnation kAgent{5, 1};
constexpr WorkerCapacity kWorker{8, 8, 16, 32000, 4};

/// One entry and one agent whose worker has 8 slots and 4 accelerators.
class EntryResourcesTest : public testing::Test {
 protected:
  void Configure(std::uint32_t agent_queue) {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = "s";
    configuration->version = 1;
    configuration->kinds = {{"k", 0, Milliseconds(60000), Milliseconds(50)}};
    configuration->worker_limits.accelerators = kWorker.accelerators;
    configuration->agent_queue = agent_queue;
    this->Send(ConfigurationChanged{configuration});
    Announce announce;
    announce.agent = kAgent;
    announce.name = "a";
    announce.service = "s";
    announce.address = "a";
    announce.worker = kWorker;
    announce.load = Free(4);
    this->Send(AgentAnnounced{99, announce});
  }

  static AgentLoad Free(int accelerators) {
    AgentLoad load;
    load.free_slots = 8;
    load.free_cores = 16;
    load.free_memory_mb = 32000;
    load.free_accelerators = accelerators;
    return load;
  }

  void Send(const EntryEvent& event) {
    for (EntryAction& action : this->core.Handle(this->now, event)) {
      if (auto* start = std::get_if<SendStart>(&action)) {
        this->starts.push_back(std::move(start->message));
      } else if (auto* granted = std::get_if<GrantTickets>(&action)) {
        this->ticket = std::get<0>(granted->tickets).front();
      }
    }
  }

  /// Submits a job of tasks that declare this many accelerators. Returns its ticket.
  Ticket Submit(std::size_t tasks, int accelerators) {
    this->Send(TicketsRequested{97, "s", 1});
    Submission submission;
    submission.service = "s";
    submission.ticket = this->ticket;
    submission.kind = "k";
    submission.tasks.resize(tasks);
    for (TaskSpec& task : submission.tasks) {
      task.accelerators = accelerators;
    }
    this->Send(JobSubmitted{++this->request, submission});
    return this->ticket;
  }

  std::size_t Started(const Ticket& of) const {
    std::size_t count = 0;
    for (const StartRequest& start : this->starts) {
      for (const StartItem& item : start.items) {
        count += item.task.ticket == of ? 1 : 0;
      }
    }
    return count;
  }

  /// Answers the first start that is not answered, with the same decision on each task.
  void Reply(StartRefusal refusal, const AgentLoad& load) {
    const StartRequest start = this->starts.at(this->answered++);
    StartReply reply;
    reply.agent = kAgent;
    reply.decisions.assign(start.items.size(), refusal);
    reply.load = load;
    this->Send(StartReplied{kAgent, start.channel_sequence, reply});
  }

  Time now{std::chrono::seconds(1000)};
  EntryCore core{{kSelf, "self", "dc"}, {"s"}, {}, 1};
  std::vector<StartRequest> starts;
  std::size_t answered = 0;
  Ticket ticket;
  RequestId request = 0;
};

// Starts that only the last report has room for are refused, and cost messages and time.
TEST_F(EntryResourcesTest, SubtractsWhatItSentSinceTheReport) {
  this->Configure(0);
  const Ticket first = this->Submit(3, 3);
  EXPECT_EQ(this->Started(first), 1U);
  EXPECT_EQ(this->Started(this->Submit(3, 1)), 1U);
  this->Reply(StartRefusal::kNone, Free(4));
  EXPECT_EQ(this->Started(first), 2U);
}

// A large task at the head must neither hold up the smaller ones behind it nor wait at the entry
// until nothing smaller is left.
TEST_F(EntryResourcesTest, LargeTasksJoinTheAgentsQueueAndSmallOnesPass) {
  this->Configure(2);
  const Ticket large = this->Submit(4, 4);
  // One fits, and two wait in the agent's queue.
  EXPECT_EQ(this->Started(large), 3U);
  while (this->answered < this->starts.size()) {
    AgentLoad load = Free(0);
    load.free_slots = 7;
    load.queued = 2;
    this->Reply(StartRefusal::kNone, load);
  }
  EXPECT_EQ(this->Started(large), 3U);
  EXPECT_EQ(this->Started(this->Submit(7, 0)), 7U);
}

// More blocked tasks than a round of placement looks at must not hide the small ones behind them.
TEST_F(EntryResourcesTest, ManyBlockedTasksDoNotHoldUpSmallOnes) {
  this->Configure(0);
  for (int job = 0; job < 4; ++job) {
    this->Submit(400, 4);
  }
  EXPECT_EQ(this->Started(this->Submit(2, 0)), 2U);
}

// A refusal for want of accelerators says nothing about tasks that need none.
TEST_F(EntryResourcesTest, BusyForALargeTaskDoesNotPauseTheAgent) {
  this->Configure(0);
  const Ticket large = this->Submit(1, 4);
  EXPECT_EQ(this->Started(large), 1U);
  this->Reply(StartRefusal::kBusy, Free(0));
  EXPECT_EQ(this->Started(large), 1U);
  EXPECT_EQ(this->Started(this->Submit(1, 0)), 1U);
}

}  // namespace
}  // namespace quetzalvale
