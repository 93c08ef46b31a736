#include <gtest/gtest.h>

#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

constexpr Incarnation kEntry{1, 1};
constexpr Incarnation kAgent{5, 1};
constexpr WorkerCapacity kWorker{8, 8, 16, 32000, 4};

/// Fixture with one entry and one agent whose worker has 8 slots and 4 accelerators.
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
    announce.load = MakeLoad(4);
    this->Send(AgentAnnounced{99, announce});
  }

  static AgentLoad MakeLoad(int accelerators) {
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

  /// Submits a job of `tasks` tasks that each declare `accelerators`. Returns its ticket.
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

  std::size_t CountStarted(const Ticket& job_ticket) const {
    std::size_t count = 0;
    for (const StartRequest& start : this->starts) {
      for (const StartItem& item : start.items) {
        count += item.task.ticket == job_ticket ? 1 : 0;
      }
    }
    return count;
  }

  /// Replies to the oldest unanswered start, with the same decision for each of its tasks.
  void ReplyToNextStart(StartRefusal refusal, const AgentLoad& load) {
    const StartRequest start = this->starts.at(this->replied_starts++);
    StartReply reply;
    reply.agent = kAgent;
    reply.decisions.assign(start.items.size(), refusal);
    reply.load = load;
    this->Send(StartReplied{kAgent, start.channel_sequence, reply});
  }

  Time now{std::chrono::seconds(1000)};
  EntryCore core{{kEntry, "self", "dc"}, {"s"}, {}, 1};
  std::vector<StartRequest> starts;
  std::size_t replied_starts = 0;
  Ticket ticket;
  RequestId request = 0;
};

// Resources taken by starts since the agent's last report must not be assigned again: the agent
// would refuse such starts, which costs messages and time.
TEST_F(EntryResourcesTest, SubtractsResourcesOfStartsSentSinceLastReport) {
  this->Configure(0);
  const Ticket first = this->Submit(3, 3);
  EXPECT_EQ(this->CountStarted(first), 1U);
  EXPECT_EQ(this->CountStarted(this->Submit(3, 1)), 1U);
  this->ReplyToNextStart(StartRefusal::kNone, MakeLoad(4));
  EXPECT_EQ(this->CountStarted(first), 2U);
}

// A large task at the head of the queue must neither block smaller tasks behind it nor wait at the
// entry until no smaller task is left.
TEST_F(EntryResourcesTest, LargeTasksJoinAgentQueueAndSmallTasksPassThem) {
  this->Configure(2);
  const Ticket large = this->Submit(4, 4);
  // One task runs and two wait in the agent's queue.
  EXPECT_EQ(this->CountStarted(large), 3U);
  while (this->replied_starts < this->starts.size()) {
    AgentLoad load = MakeLoad(0);
    load.free_slots = 7;
    load.queued = 2;
    this->ReplyToNextStart(StartRefusal::kNone, load);
  }
  EXPECT_EQ(this->CountStarted(large), 3U);
  EXPECT_EQ(this->CountStarted(this->Submit(7, 0)), 7U);
}

// More blocked tasks than a placement round examines must not prevent the placement of small tasks
// behind them.
TEST_F(EntryResourcesTest, ManyBlockedTasksDoNotBlockSmallTasks) {
  this->Configure(0);
  for (int job = 0; job < 4; ++job) {
    this->Submit(400, 4);
  }
  EXPECT_EQ(this->CountStarted(this->Submit(2, 0)), 2U);
}

// An agent that refuses a task for lack of accelerators can still take tasks that need none.
TEST_F(EntryResourcesTest, BusyRefusalOfLargeTaskDoesNotPauseAgent) {
  this->Configure(0);
  const Ticket large = this->Submit(1, 4);
  EXPECT_EQ(this->CountStarted(large), 1U);
  this->ReplyToNextStart(StartRefusal::kBusy, MakeLoad(0));
  EXPECT_EQ(this->CountStarted(large), 1U);
  EXPECT_EQ(this->CountStarted(this->Submit(1, 0)), 1U);
}

}  // namespace
}  // namespace quetzalvale
