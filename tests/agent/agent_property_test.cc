#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "core/agent/agent_core.h"
#include "tests/agent/agent_fixture.h"

namespace quetzalvale {
namespace {

constexpr int kSeeds = 40;
constexpr int kEventsPerSeed = 10000;
constexpr Incarnation kOtherAgent{1, 99};
/// Messages older than this are lost. Shorter than the retention time of records, as in production.
constexpr Milliseconds kLongestDelay{1500};
constexpr Milliseconds kRetention{2000};
/// The lease that MakeStart sets.
constexpr Milliseconds kLease{3000};

/// The declared resources of all tasks on the endpoint must never exceed this capacity.
constexpr WorkerCapacity kWorker{3, 3, 4, 1000, 2};

AgentIdentity SharedWorker() {
  AgentIdentity identity = MakeIdentity(kWorker.slots);
  identity.worker = kWorker;
  return identity;
}

/// State of a task as its owner knows it.
struct OwnerView {
  /// A start was sent, and its result is not known yet.
  bool open = false;
  bool settled = false;
  std::uint64_t sequence = 0;
  int placements = 0;
};

/// Actual state of a task.
struct ActualState {
  int dispatched = 0;
  bool refused_by_endpoint = false;
  /// Highest channel sequence of a start that was delivered, and of one that the agent declared
  /// "not run".
  std::uint64_t delivered = 0;
  std::uint64_t declared = 0;
  bool has_ended = false;

  bool MayHaveRun() const { return this->dispatched > 0 && !this->refused_by_endpoint; }
};

/// One agent, its endpoint, and owners behind a network that loses, duplicates and reorders
/// messages.
class Simulation {
 public:
  Simulation(std::uint64_t seed, AgentGuards guards)
      : random(seed),
        core(SharedWorker(), {kOwnerAddress}, std::move(guards),
             TaskStore::Limits{40, 1U << 20U, kRetention}, 200,
             SealedTickets::Limits{20, 60, 100}) {
    this->Feed(EndpointChecked{true});
  }

  /// Returns a description of the first violation, or an empty string.
  std::string Run(int events) {
    while (this->handled < events && this->violation.empty()) {
      this->Step();
    }
    if (this->violation.empty()) {
      this->DeliverRemaining();
    }
    return this->violation;
  }

  int Handled() const { return this->handled; }

  /// Counts of the events that the checked properties depend on, by name.
  const std::map<std::string, int>& EventCounts() const { return this->event_counts; }

 private:
  struct Message {
    Time sent;
    AgentEvent event;
  };

  std::uint64_t Pick(std::uint64_t bound) { return this->random() % bound; }

  /// Owners are replaced over time; otherwise all of them would end up sealed.
  Incarnation PickOwner() {
    return Incarnation{2, 2 + static_cast<std::uint64_t>(this->handled) / 500 + this->Pick(3)};
  }

  void Fail(const std::string& what, const TaskKey& task) {
    if (this->violation.empty()) {
      this->violation = what + " task=" + task.Text() + " event=" + std::to_string(this->handled);
    }
  }

  void Step() {
    switch (this->Pick(12)) {
      case 0:
      case 1:
        return this->SendNewStart();
      case 2:
        return this->WithdrawSome();
      case 3:
        return this->Pick(20) == 0 ? this->SealSome() : this->AdvanceTime();
      case 4:
      case 5:
        return this->EndOneOnEndpoint();
      case 6:
        return this->AdvanceTime();
      default:
        return this->DeliverOne();
    }
  }

  void AdvanceTime() {
    const bool frozen = this->Pick(40) == 0;
    this->now += Milliseconds(frozen ? this->Pick(5000) : this->Pick(30));
    this->Feed(Tick{});
    if (std::exchange(this->check_in_flight, false)) {
      this->Feed(EndpointChecked{this->Pick(4) != 0});
    }
  }

  /// Starts new tasks, or tasks again whose earlier start was proven "not run".
  void SendNewStart() {
    const Incarnation owner = this->PickOwner();
    const std::uint64_t sequence = ++this->channel_sequences[owner];
    std::vector<TaskKey> tasks;
    for (auto& [task, view] : this->owners) {
      if (task.ticket.owner == owner && !view.open && !view.settled && view.placements < 4) {
        tasks.push_back(task);
        break;
      }
    }
    const std::uint64_t ticket = ++this->tickets[owner];
    tasks.push_back(MakeTask(ticket / 2, static_cast<std::uint32_t>(ticket % 2), owner));
    for (const auto& task : tasks) {
      OwnerView& view = this->owners[task];
      view.open = true;
      view.sequence = sequence;
      ++view.placements;
    }
    StartRequest request = MakeStart(sequence, tasks, Milliseconds(this->Pick(400)));
    for (auto& item : request.items) {
      item.spec = this->DrawSpec();
    }
    if (this->Pick(20) == 0) {
      request.agent = kOtherAgent;
    }
    this->Send(StartReceived{sequence, request});
  }

  /// Draws small, large and oversized resource declarations.
  TaskSpec DrawSpec() {
    TaskSpec spec;
    spec.cores = static_cast<double>(this->Pick(10)) / 2;
    spec.memory_mb = static_cast<std::int64_t>(this->Pick(8)) * 150;
    spec.accelerators = static_cast<int>(this->Pick(4)) - 1;
    spec.accelerators = std::max(0, spec.accelerators);
    return spec;
  }

  /// Checks the declared resources of the running tasks and of tasks whose connection broke and
  /// whose lease has not expired.
  void CheckCapacity(const TaskKey& task) {
    double cores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    const auto add = [&](const Resources& declared) {
      cores += static_cast<double>(declared.millicores) / 1000;
      memory_mb += declared.memory_mb;
      accelerators += declared.accelerators;
    };
    for (const TaskKey& running_task : this->running) {
      add(this->declared[running_task]);
    }
    for (const auto& [end, lingering] : this->lingering) {
      if (end > this->now) {
        ++this->event_counts["hand_over_beside_lingering"];
        add(lingering);
      }
    }
    if (this->running.size() > static_cast<std::size_t>(kWorker.slots) || cores > kWorker.cores ||
        memory_mb > kWorker.memory_mb || accelerators > kWorker.accelerators) {
      this->Fail("declared resources exceed the worker's", task);
    }
  }

  void WithdrawSome() {
    WithdrawRequest request;
    request.agent = kAgentId;
    request.owner = this->PickOwner();
    request.stop_running = this->Pick(4) == 0;
    for (const auto& [task, view] : this->owners) {
      if (view.open && task.ticket.owner == request.owner && this->Pick(4) == 0) {
        request.items.push_back(WithdrawItem{view.sequence, task});
      }
    }
    if (!request.items.empty()) {
      this->Send(WithdrawReceived{1, request});
    }
  }

  void SealSome() {
    if (!this->owners.empty()) {
      auto it = this->owners.begin();
      std::advance(it, static_cast<std::ptrdiff_t>(this->Pick(this->owners.size())));
      this->Send(SealReceived{1, SealRequest{it->first.ticket, Incarnation{7, 7}}});
    }
  }

  void EndOneOnEndpoint() {
    if (this->running.empty()) {
      return;
    }
    auto it = this->running.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(this->Pick(this->running.size())));
    const TaskKey task = *it;
    this->running.erase(it);
    Outcome outcome;
    outcome.task = task;
    switch (this->Pick(6)) {
      case 0:
        this->actual[task].refused_by_endpoint = true;
        return this->Feed(EndpointRefused{task, "unreachable"});
      case 1:
        this->actual[task].has_ended = true;
        this->lingering.emplace(this->now + kLease, this->declared[task]);
        return this->Feed(EndpointFinished{task, Error{ErrorKind::kTimeout, "broken"}});
      case 2:
        outcome.reason = "not_run";
        break;
      default:
        outcome.ok = true;
    }
    this->actual[task].has_ended = true;
    this->Feed(EndpointFinished{task, outcome});
  }

  void Send(AgentEvent event) { this->network.push_back(Message{this->now, std::move(event)}); }

  void DeliverOne() {
    if (this->network.empty()) {
      return this->AdvanceTime();
    }
    const auto position = static_cast<std::ptrdiff_t>(this->Pick(this->network.size()));
    const Message message = this->network[static_cast<std::size_t>(position)];
    if (this->Pick(3) != 0) {  // Otherwise a copy stays in flight.
      this->network.erase(this->network.begin() + position);
    }
    if (this->now - message.sent <= kLongestDelay && this->Pick(10) != 0) {
      this->Feed(message.event);
    }
  }

  void Feed(const AgentEvent& event) {
    ++this->handled;
    if (const auto* start = std::get_if<StartReceived>(&event)) {
      for (const auto& item : start->message.items) {
        if (start->message.agent == kAgentId) {
          ActualState& actual = this->actual[item.task];
          actual.delivered = std::max(actual.delivered, start->message.channel_sequence);
        }
      }
    }
    if (const auto* seal = std::get_if<SealReceived>(&event)) {
      this->sealed.insert(seal->message.ticket);
    }
    for (const auto& action : this->core.Handle(this->now, event)) {
      this->Check(event, action);
    }
  }

  void Check(const AgentEvent& event, const AgentAction& action) {
    if (const auto* start = std::get_if<StartOnEndpoint>(&action)) {
      this->CheckDispatch(*start);
    } else if (const auto* reply = std::get_if<ReplyStart>(&action)) {
      this->TakeStartReply(std::get<StartReceived>(event).message, reply->reply);
    } else if (const auto* withdrawn = std::get_if<ReplyWithdraw>(&action)) {
      this->TakeWithdrawReply(std::get<WithdrawReceived>(event).message, withdrawn->reply);
    } else if (const auto* salvage = std::get_if<ReplySeal>(&action)) {
      this->CheckSeal(std::get<SealReceived>(event).message.ticket, salvage->reply);
    } else if (const auto* send = std::get_if<SendOutcomes>(&action)) {
      this->TakeOutcomes(*send);
    } else if (std::holds_alternative<CheckEndpoint>(action)) {
      this->check_in_flight = true;
    }
  }

  void CheckDispatch(const StartOnEndpoint& start) {
    ActualState& actual = this->actual[start.task];
    ++this->event_counts["handed_over"];
    if (++actual.dispatched > 1 && !actual.refused_by_endpoint) {
      this->Fail("dispatched twice", start.task);
    }
    actual.refused_by_endpoint = false;
    if (actual.delivered <= actual.declared) {
      this->Fail("dispatched after it was declared not run", start.task);
    }
    if (this->sealed.contains(start.task.ticket)) {
      this->Fail("dispatched although sealed", start.task);
    }
    if (start.time_left <= Milliseconds(0)) {
      this->Fail("dispatched without time left", start.task);
    }
    if (!this->owners[start.task].open) {
      this->Fail("dispatched without an open start", start.task);
    }
    this->running.insert(start.task);
    this->declared[start.task] = start.declared;
    this->CheckCapacity(start.task);
  }

  /// The agent declared that starts of the task up to this sequence did not run and never will.
  void RecordNotRun(const TaskKey& task, std::uint64_t sequence) {
    ActualState& actual = this->actual[task];
    actual.declared = std::max(actual.declared, sequence);
    if (actual.MayHaveRun()) {
      this->Fail("declared not run although dispatched", task);
    }
  }

  void TakeStartReply(const StartRequest& request, const StartReply& reply) {
    const bool lost = this->Pick(6) == 0;
    this->event_counts["repeated"] += reply.repeated ? 1 : 0;
    for (std::size_t i = 0; i < reply.decisions.size(); ++i) {
      ++this->event_counts["decision_" + std::to_string(static_cast<int>(reply.decisions[i]))];
      const TaskKey& task = request.items[i].task;
      OwnerView& view = this->owners[task];
      if (reply.decisions[i] == StartRefusal::kWrongIncarnation) {
        this->CloseIfCurrent(lost, view, request.channel_sequence);
      } else if (reply.decisions[i] != StartRefusal::kNone) {
        this->RecordNotRun(task, request.channel_sequence);
        this->CloseIfCurrent(lost, view, request.channel_sequence);
      }
    }
    for (const auto& outcome : reply.outcomes) {
      this->owners[outcome.task].settled = this->owners[outcome.task].settled || !lost;
    }
  }

  void CloseIfCurrent(bool lost, OwnerView& view, std::uint64_t sequence) {
    if (!lost && view.sequence == sequence) {
      view.open = false;
    }
  }

  void TakeWithdrawReply(const WithdrawRequest& request, const WithdrawReply& reply) {
    const bool lost = this->Pick(6) == 0;
    for (std::size_t i = 0; i < reply.reports.size(); ++i) {
      const TaskReport& report = reply.reports[i];
      ++this->event_counts["withdrawn_" + std::to_string(static_cast<int>(report.status))];
      OwnerView& view = this->owners[report.task];
      if (report.status == TaskStatus::kNotRun) {
        this->RecordNotRun(report.task, request.items[i].channel_sequence);
        this->CloseIfCurrent(lost, view, request.items[i].channel_sequence);
      } else if (report.status == TaskStatus::kFinished && !lost) {
        view.settled = true;
      }
    }
  }

  void CheckSeal(const Ticket& ticket, const SealReply& reply) {
    if (reply.maybe_started) {
      ++this->event_counts["maybe_started"];
      return;
    }
    for (std::uint32_t index = 0; index < 2; ++index) {
      const TaskKey task{ticket, index};
      const auto found =
          std::find_if(reply.reports.begin(), reply.reports.end(),
                       [&](const TaskReport& report) { return report.task == task; });
      const bool not_run = found == reply.reports.end() || found->status == TaskStatus::kNotRun;
      if (not_run && this->actual[task].MayHaveRun()) {
        this->Fail("seal reply falsely reports not run", task);
      }
    }
  }

  void TakeOutcomes(const SendOutcomes& send) {
    std::vector<TaskKey> tasks;
    const bool lost = this->Pick(6) == 0;
    for (const auto& outcome : send.message.outcomes) {
      tasks.push_back(outcome.task);
      ++this->event_counts["outcome_" + outcome.reason];
      OwnerView& view = this->owners[outcome.task];
      if (!outcome.ok && (outcome.reason == "not_run" || outcome.reason == "expired")) {
        // The owner accepts the proof only for the start with this channel sequence.
        this->RecordNotRun(outcome.task, outcome.channel_sequence);
        this->CloseIfCurrent(lost, view, outcome.channel_sequence);
      } else if (!lost) {
        view.settled = true;
      }
    }
    Result<OutcomesReply> reply = OutcomesReply{send.message.owner, 0};
    if (lost || this->Pick(8) == 0) {
      reply = Error{ErrorKind::kTimeout, "lost"};
    }
    this->Send(OutcomesReplied{send.message.owner, tasks, reply});
  }

  /// Repairs the network and checks that the outcome of every ended task reaches its owner.
  void DeliverRemaining() {
    this->network.clear();
    while (!this->running.empty()) {
      this->EndOneOnEndpoint();
    }
    for (int i = 0; i < 2000 && this->violation.empty(); ++i) {
      this->now += Milliseconds(100);
      this->Feed(EndpointChecked{true});
      while (!this->network.empty()) {
        const AgentEvent event = this->network.front().event;
        this->network.pop_front();
        this->Feed(event);
      }
      while (!this->running.empty()) {
        this->EndOneOnEndpoint();
      }
    }
    for (const auto& [task, actual] : this->actual) {
      if (actual.has_ended && !this->owners[task].settled) {
        this->Fail("outcome lost", task);
      }
    }
  }

  Random random;
  AgentCore core;
  Time now{std::chrono::seconds(1000)};
  int handled = 0;
  bool check_in_flight = false;
  std::map<std::string, int> event_counts;
  std::string violation;
  std::deque<Message> network;
  std::map<TaskKey, OwnerView> owners;
  std::map<TaskKey, ActualState> actual;
  std::set<TaskKey> running;
  std::map<TaskKey, Resources> declared;
  std::multimap<Time, Resources> lingering;
  std::set<Ticket> sealed;
  std::map<Incarnation, std::uint64_t> channel_sequences;
  std::map<Incarnation, std::uint64_t> tickets;
};

/// Returns the first violation over all seeds.
std::string FirstViolation(const AgentGuards& guards) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const std::string violation = Simulation(seed, guards).Run(kEventsPerSeed);
    if (!violation.empty()) {
      return "seed=" + std::to_string(seed) + " " + violation;
    }
  }
  return "";
}

// Guarantees 1, 4 and 5 for the agent: no task starts twice, none is falsely reported as not run,
// and no outcome is lost.
TEST(AgentPropertyTest, KeepsItsGuaranteesOverLossyNetworks) {
  int handled = 0;
  std::map<std::string, int> event_counts;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, AgentGuards());
    EXPECT_EQ(simulation.Run(kEventsPerSeed), "") << "seed=" << seed;
    handled += simulation.Handled();
    for (const auto& [what, count] : simulation.EventCounts()) {
      event_counts[what] += count;
    }
  }
  // The properties are only tested if the simulation reaches these cases.
  for (const char* what :
       {"handed_over", "repeated", "decision_0", "decision_1", "decision_3", "decision_4",
        "decision_5", "decision_6", "withdrawn_0", "withdrawn_1", "withdrawn_2", "maybe_started",
        "outcome_", "outcome_not_run", "outcome_expired", "outcome_endpoint_lost",
        "outcome_endpoint_not_run", "hand_over_beside_lingering"}) {
    EXPECT_GE(event_counts[what], 100) << what;
    RecordProperty(what, event_counts[what]);
  }
  EXPECT_GE(handled, 300000);
}

// Each of the following tests disables one guard and expects the simulation to find the resulting
// fault.
TEST(AgentPropertyTest, FailsWithoutTheChannelWindow) {
  AgentGuards guards;
  guards.accept_sequence = [](auto&&...) { return true; };
  EXPECT_NE(FirstViolation(guards), "");
}

TEST(AgentPropertyTest, FailsWithoutTheSealedCheck) {
  AgentGuards guards;
  guards.is_sealed = [](auto&&...) { return false; };
  EXPECT_NE(FirstViolation(guards).find("although sealed"), std::string::npos);
}

TEST(AgentPropertyTest, FailsWithoutTheHistoryOfStartedTasks) {
  AgentGuards guards;
  guards.query_started = [](auto&&...) { return StartedStatus::kNever; };
  EXPECT_NE(FirstViolation(guards), "");
}

TEST(AgentPropertyTest, FailsWithoutTheTimeLeftCheck) {
  AgentGuards guards;
  guards.has_time_left = [](auto&&...) { return true; };
  EXPECT_NE(FirstViolation(guards).find("without time left"), std::string::npos);
}

TEST(AgentPropertyTest, FailsWithoutTheResourceCheck) {
  AgentGuards guards;
  guards.fits_now = [](const WorkerResources& resources, const Resources&) {
    return resources.Free().slots > 0;
  };
  EXPECT_NE(FirstViolation(guards).find("resources exceed"), std::string::npos);
}

TEST(AgentPropertyTest, FailsWithoutTheIncarnationCheck) {
  AgentGuards guards;
  guards.same_incarnation = [](auto&&...) { return true; };
  EXPECT_NE(FirstViolation(guards), "");
}

}  // namespace
}  // namespace quetzalvale
