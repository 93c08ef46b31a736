#include "core/entry/entry_core.h"

#include <gtest/gtest.h>

#include <utility>

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kEntry{1, 1};
constexpr Incarnation kPeer{1, 2};
constexpr Incarnation kAgent{5, 1};

class EntryCoreTest : public testing::Test {
 protected:
  EntryCoreTest() {
    auto configuration = std::make_shared<ServiceConfiguration>();
    configuration->service = "s";
    configuration->version = 3;
    configuration->kinds = {{"k", 0, Milliseconds(2000), Milliseconds(50)}};
    this->configuration = configuration;
    this->Send(ConfigurationChanged{configuration});
  }

  void Send(const EntryEvent& event) { this->actions = this->core.Handle(this->now, event); }

  void AdvanceTime(Time::duration time) {
    this->now += time;
    this->Send(Tick{});
  }

  template <typename Action>
  const Action* Find() const {
    for (const EntryAction& action : this->actions) {
      if (const auto* found = std::get_if<Action>(&action)) return found;
    }
    return nullptr;
  }

  void AddAgent(const Incarnation& agent, const std::string& address) {
    Announce announce;
    announce.agent = agent;
    announce.name = address;
    announce.service = "s";
    announce.address = address;
    announce.worker.slots = 8;
    announce.load.free_slots = 8;
    this->Send(AgentAnnounced{99, announce});
  }

  void ReceiveHello(std::uint64_t roster_number, std::vector<RosterItem> roster) {
    Hello hello;
    hello.entry = {kPeer, "peer", "dc"};
    hello.roster_number = roster_number;
    hello.roster = std::move(roster);
    this->Send(HelloReceived{98, hello});
  }

  Ticket NewTicket() {
    this->Send(TicketsRequested{97, "s", 1});
    return std::get<0>(this->Find<GrantTickets>()->tickets).front();
  }

  Submission MakeSubmission(const Ticket& ticket, std::uint64_t hash = 1) {
    Submission submission;
    submission.service = "s";
    submission.ticket = ticket;
    submission.kind = "k";
    submission.tasks.resize(1);
    submission.body_hash = hash;
    return submission;
  }

  /// Submits a job. Returns the start message that was sent, or an empty one if there is none.
  StartRequest SubmitAndTakeStart(const Ticket& ticket, RequestId request = 1) {
    this->Send(JobSubmitted{request, this->MakeSubmission(ticket)});
    return this->Find<SendStart>() == nullptr ? StartRequest() : this->Find<SendStart>()->message;
  }

  StartReply MakeStartReply(const Incarnation& agent, StartRefusal refusal) {
    StartReply reply;
    reply.agent = agent;
    reply.decisions = {refusal};
    reply.load.free_slots = 7;
    return reply;
  }

  void ReportSuccess(const Ticket& ticket, const Incarnation& agent = kAgent) {
    OutcomesRequest message;
    message.agent = agent;
    message.owner = kEntry;
    message.load.free_slots = 8;
    message.outcomes = {Outcome{{ticket, 0}, true, "", "42", Milliseconds(10)}};
    this->Send(OutcomesReceived{96, message});
  }

  const Answer* FindAnswer(RequestId request) const {
    for (const EntryAction& action : this->actions) {
      const auto* answer = std::get_if<AnswerCaller>(&action);
      if (answer != nullptr && answer->request == request) return &answer->answer;
    }
    return nullptr;
  }

  Time now{seconds(1000)};
  EntryCore core{{kEntry, "self", "dc"}, {"s"}, {}, 1};
  std::shared_ptr<const ServiceConfiguration> configuration;
  std::vector<EntryAction> actions;
};

TEST_F(EntryCoreTest, AnswersAllRequestsAndResubmissions) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->SubmitAndTakeStart(ticket);
  EXPECT_EQ(start.agent, kAgent);
  EXPECT_EQ(start.configuration_version, 3U);
  this->Send(JobSubmitted{2, this->MakeSubmission(ticket)});
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  // The outcome may arrive before the reply to the start.
  this->ReportSuccess(ticket);
  ASSERT_NE(this->FindAnswer(1), nullptr);
  EXPECT_EQ(this->FindAnswer(1)->results, (std::vector<std::string>{"42"}));
  ASSERT_NE(this->FindAnswer(2), nullptr);
  EXPECT_EQ(this->FindAnswer(2)->results, (std::vector<std::string>{"42"}));
  EXPECT_EQ(this->FindAnswer(2)->fresh_tickets.size(), 1U);
  this->Send(StartReplied{kAgent, start.channel_sequence, this->MakeStartReply(kAgent, {})});
  this->Send(JobSubmitted{3, this->MakeSubmission(ticket)});
  EXPECT_EQ(this->FindAnswer(3)->status, AnswerStatus::kComplete);
  this->Send(JobSubmitted{4, this->MakeSubmission(ticket, 2)});
  EXPECT_EQ(this->FindAnswer(4)->error, ErrorKind::kConflict);
  EXPECT_FALSE(this->FindAnswer(4)->not_run);
}

// A start that timed out may have reached the agent, so placing the task again without a withdrawal
// could run it twice.
TEST_F(EntryCoreTest, WithdrawsUnansweredStartBeforePlacingTaskAgain) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->SubmitAndTakeStart(ticket);
  this->Send(StartReplied{kAgent, start.channel_sequence, Error{ErrorKind::kTimeout, ""}});
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  const auto items = this->Find<SendWithdraw>()->message.items;
  this->Send(WithdrawReplied{kAgent, items, Error{ErrorKind::kTimeout, ""}});
  EXPECT_EQ(this->Find<SendWithdraw>(), nullptr);
  this->AdvanceTime(Milliseconds(60));
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  WithdrawReply reply;
  reply.agent = kAgent;
  reply.reports = {{{ticket, 0}, TaskStatus::kNotRun, std::nullopt}};
  reply.load.free_slots = 8;
  this->Send(WithdrawReplied{kAgent, items, reply});
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_GT(this->Find<SendStart>()->message.channel_sequence, start.channel_sequence);
  // A delayed report about the first start does not affect the second.
  this->Send(WithdrawReplied{kAgent, items, reply});
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
}

TEST_F(EntryCoreTest, PlacesTaskAgainImmediatelyWhenStartWasNotSent) {
  this->AddAgent(kAgent, "a");
  this->AddAgent({5, 2}, "b");
  const StartRequest start = this->SubmitAndTakeStart(this->NewTicket());
  this->Send(StartReplied{start.agent, start.channel_sequence, Error{ErrorKind::kUnreachable, ""}});
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_NE(this->Find<SendStart>()->message.agent, start.agent);
}

// The agent may have run the task before another process took over its address.
TEST_F(EntryCoreTest, DoesNotPlaceTasksOfReplacedAgentAgain) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->SubmitAndTakeStart(ticket);
  this->Send(StartReplied{kAgent, start.channel_sequence,
                          this->MakeStartReply({5, 9}, StartRefusal::kWrongIncarnation)});
  ASSERT_NE(this->FindAnswer(1), nullptr);
  EXPECT_EQ(this->FindAnswer(1)->reason, "outcome_unknown");
  EXPECT_FALSE(this->FindAnswer(1)->not_run);
}

// An entry that salvages the ticket asks only the agents in the ticket's roster, so it would miss a
// task on a newer agent.
TEST_F(EntryCoreTest, UsesNoAgentNewerThanTicket) {
  this->AddAgent(kAgent, "a");
  const Ticket old_ticket = this->NewTicket();
  this->AddAgent({5, 2}, "b");
  for (int i = 0; i < 8; ++i) {
    EXPECT_NE(this->SubmitAndTakeStart(this->NewTicket(), 100 + i).owner, Incarnation());
  }
  const StartRequest start = this->SubmitAndTakeStart(old_ticket);
  EXPECT_TRUE(start.agent == kAgent || start.owner.IsNil());
  Announce leaving;
  leaving.agent = kAgent;
  leaving.name = leaving.address = "a";
  leaving.service = "s";
  leaving.load.leaving = true;
  this->Send(AgentAnnounced{99, leaving});
  const Ticket fresh = this->NewTicket();
  EXPECT_GT(fresh.roster, old_ticket.roster);
}

TEST_F(EntryCoreTest, RefusesTicketWhoseAgentsAreAllGone) {
  const Ticket ticket = this->NewTicket();
  this->AddAgent(kAgent, "a");
  this->SubmitAndTakeStart(ticket);
  ASSERT_NE(this->FindAnswer(1), nullptr);
  EXPECT_EQ(this->FindAnswer(1)->error, ErrorKind::kTicketExpired);
  EXPECT_TRUE(this->FindAnswer(1)->not_run);
  ASSERT_EQ(this->FindAnswer(1)->fresh_tickets.size(), 1U);
  EXPECT_EQ(this->SubmitAndTakeStart(this->FindAnswer(1)->fresh_tickets.front(), 2).agent, kAgent);
}

// Waiting tasks that only a full agent may take must not block tasks that other agents can take.
TEST_F(EntryCoreTest, WaitingLargeJobDoesNotBlockLaterJobs) {
  this->AddAgent(kAgent, "a");
  Submission large_job = this->MakeSubmission(this->NewTicket());
  large_job.tasks.resize(200);
  this->AddAgent({5, 2}, "b");
  this->Send(JobSubmitted{1, large_job});
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kAgent);
  EXPECT_EQ(this->SubmitAndTakeStart(this->NewTicket(), 2).agent, (Incarnation{5, 2}));
}

// A job that misses its deadline is reported as not run only if the agent proves it. The proof may
// arrive up to 500 ms after the deadline.
TEST_F(EntryCoreTest, ReportsNotRunAtDeadlineOnlyWithProof) {
  this->AddAgent(kAgent, "a");
  for (const bool proof : {true, false}) {
    const Ticket ticket = this->NewTicket();
    Submission job = this->MakeSubmission(ticket);
    job.deadline = Milliseconds(300);
    this->Send(JobSubmitted{1, job});
    const StartRequest start = this->Find<SendStart>()->message;
    this->Send(StartReplied{kAgent, start.channel_sequence, this->MakeStartReply(kAgent, {})});
    this->AdvanceTime(Milliseconds(300));
    EXPECT_EQ(this->FindAnswer(1), nullptr);
    ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
    WithdrawReply reply;
    reply.agent = kAgent;
    reply.reports = {{{ticket, 0}, TaskStatus::kNotRun, std::nullopt}};
    reply.load.free_slots = 8;
    if (!proof) reply.reports[0].status = TaskStatus::kRunning;
    const auto items = this->Find<SendWithdraw>()->message.items;
    this->Send(WithdrawReplied{kAgent, items, reply});
    ASSERT_NE(this->FindAnswer(1), nullptr);
    EXPECT_EQ(this->FindAnswer(1)->reason, "deadline");
    EXPECT_EQ(this->FindAnswer(1)->not_run, proof);
  }
}

TEST_F(EntryCoreTest, AcknowledgesOnlyItsOwnOutcomes) {
  OutcomesRequest message;
  message.agent = kAgent;
  message.owner = {1, 77};
  this->Send(OutcomesReceived{1, message});
  EXPECT_EQ(this->Find<ReplyOutcomes>()->reply.owner, kEntry);
}

// After a pause of the entry's process, messages from agents are still to be handled, so silent
// agents must not be removed immediately.
TEST_F(EntryCoreTest, DelaysAgentRemovalButNotDeadlinesAfterPause) {
  this->AddAgent(kAgent, "a");
  this->SubmitAndTakeStart(this->NewTicket());
  this->AdvanceTime(seconds(60));
  EXPECT_EQ(this->core.Status(this->now).services[0].agents.size(), 1U);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->FindAnswer(1), nullptr);
  this->AdvanceTime(Milliseconds(500));
  ASSERT_NE(this->FindAnswer(1), nullptr);
  EXPECT_EQ(this->FindAnswer(1)->reason, "deadline");
  EXPECT_EQ(this->core.Status(this->now).services[0].agents.size(), 1U);
  this->AdvanceTime(Milliseconds(500));
  EXPECT_TRUE(this->core.Status(this->now).services[0].agents.empty());
}

TEST_F(EntryCoreTest, IgnoresOlderConfiguration) {
  auto older = std::make_shared<ServiceConfiguration>(*this->configuration);
  older->version = 2;
  this->Send(ConfigurationChanged{older});
  EXPECT_EQ(this->core.Status(this->now).services[0].configuration_version, 3U);
}

TEST_F(EntryCoreTest, ClaimsKeyAndForwardsToTicketOwner) {
  this->AddAgent(kAgent, "a");
  Submission job = this->MakeSubmission({});
  job.ticket.reset();
  job.key = "order-7";
  this->Send(JobSubmitted{1, job});
  ASSERT_NE(this->Find<ClaimKey>(), nullptr);
  const Ticket claimed = this->Find<ClaimKey>()->ticket;
  this->Send(KeyClaimed{1, claimed});
  EXPECT_NE(this->Find<SendStart>(), nullptr);
  // A job with the key may have run through another entry, so an outage does not prove that it did
  // not run.
  this->Send(JobSubmitted{2, job});
  this->Send(KeyClaimed{2, Error{ErrorKind::kPlatformUnavailable, "outage"}});
  EXPECT_EQ(this->FindAnswer(2)->error, ErrorKind::kPlatformUnavailable);
  EXPECT_FALSE(this->FindAnswer(2)->not_run);
  this->ReceiveHello(1, {});
  this->Send(JobSubmitted{3, job});
  this->Send(KeyClaimed{3, Ticket{"s", kPeer, 1, 1}});
  ASSERT_NE(this->Find<SendForward>(), nullptr);
  EXPECT_EQ(this->Find<SendForward>()->address, "peer");
}

TEST_F(EntryCoreTest, RetriesForwardUntilTakenAndDeliversAnswerOnce) {
  this->ReceiveHello(1, {});
  const Ticket ticket{"s", kPeer, 1, 1};
  this->Send(JobSubmitted{1, this->MakeSubmission(ticket)});
  ASSERT_NE(this->Find<SendForward>(), nullptr);
  this->Send(ForwardReplied{1, kPeer, Error{ErrorKind::kTimeout, ""}});
  this->AdvanceTime(Milliseconds(100));
  ASSERT_NE(this->Find<SendForward>(), nullptr);
  this->Send(ForwardReplied{1, kPeer, ForwardReply{kPeer, true}});
  this->AdvanceTime(Milliseconds(100));
  EXPECT_EQ(this->Find<SendForward>(), nullptr);
  AnswerRequest message{kEntry, 1, {}};
  message.answer.status = AnswerStatus::kComplete;
  message.answer.ticket = ticket;
  this->Send(AnswerReceived{5, message});
  EXPECT_NE(this->FindAnswer(1), nullptr);
  this->Send(AnswerReceived{6, message});
  EXPECT_EQ(this->FindAnswer(1), nullptr);
  EXPECT_FALSE(this->Find<ReplyAcknowledgement>()->reply.accepted);
}

// A job whose owner is dead is salvaged, and later submissions get the same answer.
TEST_F(EntryCoreTest, SalvagesJobOfDeadOwnerWithFinalAnswer) {
  this->ReceiveHello(4, {{"s", kAgent, "a", 1, 0}});
  const Ticket ticket{"s", kPeer, 1, 4};
  this->Send(JobSubmitted{1, this->MakeSubmission(ticket)});
  this->Send(ForwardReplied{1, kPeer, ForwardReply{{1, 3}, false}});
  this->AdvanceTime(Milliseconds(200));
  ASSERT_NE(this->Find<SendSeal>(), nullptr);
  EXPECT_EQ(this->Find<SendSeal>()->agent, kAgent);
  this->Send(JobSubmitted{2, this->MakeSubmission(ticket)});
  SealReply reply;
  reply.agent = kAgent;
  this->Send(SealReplied{kAgent, ticket, reply});
  EXPECT_TRUE(this->FindAnswer(1)->not_run);
  EXPECT_TRUE(this->FindAnswer(2)->not_run);
  this->Send(JobSubmitted{3, this->MakeSubmission(ticket)});
  EXPECT_TRUE(this->FindAnswer(3)->not_run);
  EXPECT_EQ(this->core.Status(this->now).counters.salvages, 1U);
}

// After the loss of a data centre, each salvage would otherwise wait again for agents that this
// entry has already declared lost.
TEST_F(EntryCoreTest, SalvageDoesNotWaitForAgentAlreadyDeclaredLost) {
  this->ReceiveHello(4, {{"s", kAgent, "a", 1, 0}});
  this->AddAgent(kAgent, "a");
  for (int i = 0; i < 2000 && !this->core.Status(this->now).services[0].agents.empty(); ++i) {
    this->AdvanceTime(Milliseconds(100));
  }
  ASSERT_TRUE(this->core.Status(this->now).services[0].agents.empty());
  const Ticket ticket{"s", kPeer, 1, 4};
  Submission job = this->MakeSubmission(ticket);
  job.deadline = seconds(120);
  this->Send(JobSubmitted{1, job});
  this->Send(ForwardReplied{1, kPeer, ForwardReply{{1, 3}, false}});
  this->AdvanceTime(Milliseconds(200));
  ASSERT_NE(this->Find<SendSeal>(), nullptr);
  this->Send(SealReplied{kAgent, ticket, Error{ErrorKind::kUnreachable, ""}});
  ASSERT_NE(this->FindAnswer(1), nullptr);
  EXPECT_EQ(this->FindAnswer(1)->reason, "outcome_unknown");
  EXPECT_FALSE(this->FindAnswer(1)->not_run);
}

// Calls to one peer are sent one after another. If the owner of many jobs hangs, the salvage of
// each would otherwise be delayed by the timeouts of all calls before it.
TEST_F(EntryCoreTest, OneTimeoutOfDeadOwnerSalvagesAllItsJobs) {
  this->ReceiveHello(4, {{"s", kAgent, "a", 1, 0}});
  for (RequestId request = 1; request <= 2; ++request) {
    Submission job = this->MakeSubmission({"s", kPeer, request, 4});
    job.deadline = seconds(120);
    this->Send(JobSubmitted{request, job});
    ASSERT_NE(this->Find<SendForward>(), nullptr);
  }
  for (int i = 0; i < 110; ++i) {
    this->AdvanceTime(Milliseconds(100));
  }
  EXPECT_EQ(this->core.Status(this->now).counters.salvages, 0U);
  this->Send(ForwardReplied{1, kPeer, Error{ErrorKind::kTimeout, ""}});
  this->AdvanceTime(Milliseconds(200));
  EXPECT_EQ(this->core.Status(this->now).counters.salvages, 2U);
}

TEST_F(EntryCoreTest, AnswersRepeatedForwardOnce) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const ForwardRequest forward{{kPeer, "peer", "dc"}, 11, this->MakeSubmission(ticket)};
  this->Send(ForwardReceived{1, forward});
  EXPECT_TRUE(this->Find<ReplyForward>()->reply.taken);
  this->Send(ForwardReceived{2, forward});
  this->ReportSuccess(ticket);
  int answers = 0;
  for (const EntryAction& action : this->actions) {
    answers += std::holds_alternative<SendAnswer>(action) ? 1 : 0;
  }
  EXPECT_EQ(answers, 1);
  this->Send(AnswerReplied{kPeer, 11, Error{ErrorKind::kTimeout, ""}});
  this->AdvanceTime(Milliseconds(100));
  ASSERT_NE(this->Find<SendAnswer>(), nullptr);
  this->Send(AnswerReplied{kPeer, 11, Acknowledgement{kPeer, true}});
  this->AdvanceTime(seconds(1));
  EXPECT_EQ(this->Find<SendAnswer>(), nullptr);
}

TEST_F(EntryCoreTest, FinishesJobsHandsOverAndInformsPeersBeforeDeparting) {
  this->ReceiveHello(1, {});
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const Ticket unused = this->NewTicket();
  this->SubmitAndTakeStart(ticket);
  this->Send(LeaveRequested{});
  this->Send(JobSubmitted{2, this->MakeSubmission(unused)});
  EXPECT_EQ(this->FindAnswer(2)->error, ErrorKind::kLeaving);
  this->Send(JobSubmitted{3, this->MakeSubmission(ticket)});
  EXPECT_EQ(this->FindAnswer(3), nullptr);
  EXPECT_EQ(this->Find<SendHandOver>(), nullptr);
  this->ReportSuccess(ticket);
  EXPECT_NE(this->FindAnswer(3), nullptr);
  ASSERT_NE(this->Find<SendHandOver>(), nullptr);
  const HandOver part = this->Find<SendHandOver>()->message;
  this->Send(HandOverReplied{kPeer, "s", Error{ErrorKind::kTimeout, ""}});
  this->AdvanceTime(Milliseconds(300));
  ASSERT_NE(this->Find<SendHandOver>(), nullptr);
  this->Send(HandOverReplied{kPeer, "s", Acknowledgement{kPeer, true}});
  EXPECT_EQ(this->Find<Departed>(), nullptr);
  this->AdvanceTime(seconds(2));
  EXPECT_NE(this->Find<Departed>(), nullptr);

  EntryCore successor({kPeer, "peer", "dc"}, {"s"}, {}, 1);
  successor.Handle(this->now, ConfigurationChanged{this->configuration});
  successor.Handle(this->now, HandOverReceived{1, part});
  this->actions = successor.Handle(this->now, JobSubmitted{4, this->MakeSubmission(ticket)});
  EXPECT_EQ(this->FindAnswer(4)->status, AnswerStatus::kComplete);
  this->actions = successor.Handle(this->now, JobSubmitted{5, this->MakeSubmission(unused)});
  EXPECT_TRUE(this->FindAnswer(5)->not_run);
  EXPECT_EQ(this->FindAnswer(5)->fresh_tickets.size(), 1U);
}

// A successor that received only some parts of a ledger must not answer for it, and the next
// successor needs all parts. Otherwise used tickets would count as unused, or answers would be
// lost.
TEST_F(EntryCoreTest, InterruptedHandOverRestartsWithAnotherSuccessor) {
  TicketLedger ledger("s", kEntry);
  ledger.SetLimits(ServiceConfiguration::Tickets());
  const auto tickets = ledger.Issue(10001, 1, this->now);
  for (std::size_t i = 0; i < 10000; ++i) {
    ledger.MarkUsed(tickets[i], this->now);
    Answer answer;
    answer.status = AnswerStatus::kComplete;
    answer.ticket = tickets[i];
    answer.results = {std::to_string(i)};
    ledger.KeepAnswer(tickets[i].sequence, 1, answer, this->now);
  }
  const auto parts = ledger.Export();
  ASSERT_GT(parts.size(), 3U);
  const auto hand_over = [&](EntryCore& to, const HandOver& part) {
    this->actions = to.Handle(this->now, HandOverReceived{50, part});
    return this->Find<ReplyAcknowledgement>()->reply.accepted;
  };
  EntryCore first({kPeer, "peer", "dc"}, {"s"}, {}, 1);
  EntryCore second({{1, 3}, "other", "dc"}, {"s"}, {}, 1);
  for (EntryCore* entry : {&first, &second}) {
    entry->Handle(this->now, ConfigurationChanged{this->configuration});
  }
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) EXPECT_TRUE(hand_over(first, parts[i]));
  // The last part does not arrive, so the first successor does not answer for the ledger's tickets.
  this->actions = first.Handle(this->now, JobSubmitted{4, this->MakeSubmission(tickets.back())});
  EXPECT_EQ(this->FindAnswer(4), nullptr);
  EXPECT_FALSE(hand_over(second, parts.back()));
  for (const HandOver& part : parts) EXPECT_TRUE(hand_over(second, part));
  for (std::size_t i = 0; i < 10000; i += 999) {
    this->actions =
        second.Handle(this->now, JobSubmitted{100 + i, this->MakeSubmission(tickets[i])});
    ASSERT_NE(this->FindAnswer(100 + i), nullptr);
    EXPECT_EQ(this->FindAnswer(100 + i)->results.front(), std::to_string(i));
  }
  this->actions = second.Handle(this->now, JobSubmitted{5, this->MakeSubmission(tickets.back())});
  EXPECT_TRUE(this->FindAnswer(5)->not_run);
  // The incomplete ledger has been dropped, so its last part is no longer accepted.
  this->now += seconds(20);
  first.Handle(this->now, Tick{});
  EXPECT_FALSE(hand_over(first, parts.back()));
}

// Ledgers adopted when many other entries leave must not exhaust the memory of an entry.
TEST_F(EntryCoreTest, RefusesLedgersBeyondMemoryLimit) {
  HandOver part;
  part.service = "s";
  part.next_sequence = 2;
  part.used = {1};
  HandOver::RetainedAnswer kept;
  kept.sequence = 1;
  kept.answer.status = AnswerStatus::kComplete;
  kept.answer.results = {std::string(std::size_t{16} << 20, 'x')};
  part.answers = {kept};
  int accepted = 0;
  for (std::uint64_t i = 0; i < 20; ++i) {
    part.owner = {9, i + 1};
    this->Send(HandOverReceived{50, part});
    accepted += this->Find<ReplyAcknowledgement>()->reply.accepted ? 1 : 0;
  }
  EXPECT_EQ(accepted, 8);
}

TEST_F(EntryCoreTest, DepartsWithoutSuccessor) {
  this->Send(LeaveRequested{});
  for (int i = 0; i < 80 && this->Find<Departed>() == nullptr; ++i)
    this->AdvanceTime(Milliseconds(100));
  EXPECT_NE(this->Find<Departed>(), nullptr);
}

TEST_F(EntryCoreTest, CancelStopsRunningTasks) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->SubmitAndTakeStart(ticket);
  this->Send(StartReplied{kAgent, start.channel_sequence, this->MakeStartReply(kAgent, {})});
  this->Send(JobCancelled{9, ticket});
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  EXPECT_TRUE(this->Find<SendWithdraw>()->message.stop_running);
  this->AdvanceTime(Milliseconds(400));
  this->AdvanceTime(Milliseconds(101));
  ASSERT_NE(this->Find<AnswerQuery>(), nullptr);
  EXPECT_EQ(this->FindAnswer(1)->reason, "cancelled");
  EXPECT_FALSE(this->FindAnswer(1)->not_run);
}

}  // namespace
}  // namespace quetzalvale
