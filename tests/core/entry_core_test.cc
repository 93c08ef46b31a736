#include "core/entry/entry_core.h"

#include <gtest/gtest.h>

#include <utility>

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kSelf{1, 1};
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

  void Wait(Time::duration time) {
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

  void Greet(std::uint64_t roster_number, std::vector<RosterItem> roster) {
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

  Submission Job(const Ticket& ticket, std::uint64_t hash = 1) {
    Submission submission;
    submission.service = "s";
    submission.ticket = ticket;
    submission.kind = "k";
    submission.tasks.resize(1);
    submission.body_hash = hash;
    return submission;
  }

  /// Submits a job and returns the start that was sent.
  StartRequest Start(const Ticket& ticket, RequestId request = 1) {
    this->Send(JobSubmitted{request, this->Job(ticket)});
    return this->Find<SendStart>() == nullptr ? StartRequest() : this->Find<SendStart>()->message;
  }

  StartReply Decide(const Incarnation& agent, StartRefusal refusal) {
    StartReply reply;
    reply.agent = agent;
    reply.decisions = {refusal};
    reply.load.free_slots = 7;
    return reply;
  }

  void Finish(const Ticket& ticket, const Incarnation& agent = kAgent) {
    OutcomesRequest message;
    message.agent = agent;
    message.owner = kSelf;
    message.load.free_slots = 8;
    message.outcomes = {Outcome{{ticket, 0}, true, "", "42", Milliseconds(10)}};
    this->Send(OutcomesReceived{96, message});
  }

  const Answer* Answered(RequestId request) const {
    for (const EntryAction& action : this->actions) {
      const auto* answer = std::get_if<AnswerCaller>(&action);
      if (answer != nullptr && answer->request == request) return &answer->answer;
    }
    return nullptr;
  }

  Time now{seconds(1000)};
  EntryCore core{{kSelf, "self", "dc"}, {"s"}, {}, 1};
  std::shared_ptr<const ServiceConfiguration> configuration;
  std::vector<EntryAction> actions;
};

TEST_F(EntryCoreTest, AnswersOnceAndAgainOnResubmission) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->Start(ticket);
  EXPECT_EQ(start.agent, kAgent);
  EXPECT_EQ(start.configuration_version, 3U);
  this->Send(JobSubmitted{2, this->Job(ticket)});
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  // The outcome may come before the reply to the start.
  this->Finish(ticket);
  ASSERT_NE(this->Answered(1), nullptr);
  EXPECT_EQ(this->Answered(1)->results, (std::vector<std::string>{"42"}));
  ASSERT_NE(this->Answered(2), nullptr);
  EXPECT_EQ(this->Answered(2)->results, (std::vector<std::string>{"42"}));
  EXPECT_EQ(this->Answered(2)->fresh_tickets.size(), 1U);
  this->Send(StartReplied{kAgent, start.channel_sequence, this->Decide(kAgent, {})});
  this->Send(JobSubmitted{3, this->Job(ticket)});
  EXPECT_EQ(this->Answered(3)->status, AnswerStatus::kComplete);
  this->Send(JobSubmitted{4, this->Job(ticket, 2)});
  EXPECT_EQ(this->Answered(4)->error, ErrorKind::kConflict);
  EXPECT_FALSE(this->Answered(4)->not_run);
}

// A start that timed out may have arrived; placing the task again would run it twice.
TEST_F(EntryCoreTest, WithdrawsAStartWithoutReplyBeforePlacingAgain) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->Start(ticket);
  this->Send(StartReplied{kAgent, start.channel_sequence, Error{ErrorKind::kTimeout, ""}});
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  const auto items = this->Find<SendWithdraw>()->message.items;
  this->Send(WithdrawReplied{kAgent, items, Error{ErrorKind::kTimeout, ""}});
  EXPECT_EQ(this->Find<SendWithdraw>(), nullptr);
  this->Wait(Milliseconds(60));
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  WithdrawReply reply;
  reply.agent = kAgent;
  reply.reports = {{{ticket, 0}, TaskStatus::kNotRun, std::nullopt}};
  reply.load.free_slots = 8;
  this->Send(WithdrawReplied{kAgent, items, reply});
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_GT(this->Find<SendStart>()->message.channel_sequence, start.channel_sequence);
  // A delayed report about the first start says nothing about the second.
  this->Send(WithdrawReplied{kAgent, items, reply});
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
}

TEST_F(EntryCoreTest, PlacesAgainAtOnceWhenTheStartWasNotSent) {
  this->AddAgent(kAgent, "a");
  this->AddAgent({5, 2}, "b");
  const StartRequest start = this->Start(this->NewTicket());
  this->Send(StartReplied{start.agent, start.channel_sequence, Error{ErrorKind::kUnreachable, ""}});
  ASSERT_NE(this->Find<SendStart>(), nullptr);
  EXPECT_NE(this->Find<SendStart>()->message.agent, start.agent);
}

// The agent that was asked may have run the task before another process took its address.
TEST_F(EntryCoreTest, DoesNotPlaceTasksOfAReplacedAgentAgain) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->Start(ticket);
  this->Send(StartReplied{kAgent, start.channel_sequence,
                          this->Decide({5, 9}, StartRefusal::kWrongIncarnation)});
  ASSERT_NE(this->Answered(1), nullptr);
  EXPECT_EQ(this->Answered(1)->reason, "outcome_unknown");
  EXPECT_FALSE(this->Answered(1)->not_run);
}

// A salvager that knows the ticket's roster would not ask the newer agent.
TEST_F(EntryCoreTest, UsesNoAgentNewerThanTheTicket) {
  this->AddAgent(kAgent, "a");
  const Ticket old_ticket = this->NewTicket();
  this->AddAgent({5, 2}, "b");
  for (int i = 0; i < 8; ++i) {
    EXPECT_NE(this->Start(this->NewTicket(), 100 + i).owner, Incarnation());
  }
  const StartRequest start = this->Start(old_ticket);
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

TEST_F(EntryCoreTest, RefusesATicketWhoseAgentsAreAllGone) {
  const Ticket ticket = this->NewTicket();
  this->AddAgent(kAgent, "a");
  this->Start(ticket);
  ASSERT_NE(this->Answered(1), nullptr);
  EXPECT_EQ(this->Answered(1)->error, ErrorKind::kTicketExpired);
  EXPECT_TRUE(this->Answered(1)->not_run);
  ASSERT_EQ(this->Answered(1)->fresh_tickets.size(), 1U);
  EXPECT_EQ(this->Start(this->Answered(1)->fresh_tickets.front(), 2).agent, kAgent);
}

// Tasks that only a full agent may take must not hold up those that others can take.
TEST_F(EntryCoreTest, PlacesTasksBehindALargeJobThatHasToWait) {
  this->AddAgent(kAgent, "a");
  Submission large = this->Job(this->NewTicket());
  large.tasks.resize(200);
  this->AddAgent({5, 2}, "b");
  this->Send(JobSubmitted{1, large});
  EXPECT_EQ(this->Find<SendStart>()->message.agent, kAgent);
  EXPECT_EQ(this->Start(this->NewTicket(), 2).agent, (Incarnation{5, 2}));
}

// The proof may come up to 500 ms after the deadline.
TEST_F(EntryCoreTest, SaysNotRunAtTheDeadlineOnlyWithProof) {
  this->AddAgent(kAgent, "a");
  for (const bool proof : {true, false}) {
    const Ticket ticket = this->NewTicket();
    Submission job = this->Job(ticket);
    job.deadline = Milliseconds(300);
    this->Send(JobSubmitted{1, job});
    const StartRequest start = this->Find<SendStart>()->message;
    this->Send(StartReplied{kAgent, start.channel_sequence, this->Decide(kAgent, {})});
    this->Wait(Milliseconds(300));
    EXPECT_EQ(this->Answered(1), nullptr);
    ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
    WithdrawReply reply;
    reply.agent = kAgent;
    reply.reports = {{{ticket, 0}, TaskStatus::kNotRun, std::nullopt}};
    reply.load.free_slots = 8;
    if (!proof) reply.reports[0].status = TaskStatus::kRunning;
    const auto items = this->Find<SendWithdraw>()->message.items;
    this->Send(WithdrawReplied{kAgent, items, reply});
    ASSERT_NE(this->Answered(1), nullptr);
    EXPECT_EQ(this->Answered(1)->reason, "deadline");
    EXPECT_EQ(this->Answered(1)->not_run, proof);
  }
}

TEST_F(EntryCoreTest, AcknowledgesOnlyItsOwnOutcomes) {
  OutcomesRequest message;
  message.agent = kAgent;
  message.owner = {1, 77};
  this->Send(OutcomesReceived{1, message});
  EXPECT_EQ(this->Find<ReplyOutcomes>()->reply.owner, kSelf);
}

// After a pause the agents' messages wait to be handled; they must not be taken for dead.
TEST_F(EntryCoreTest, GivesAgentsGraceAfterAPauseButDealsWithDeadlines) {
  this->AddAgent(kAgent, "a");
  this->Start(this->NewTicket());
  this->Wait(seconds(60));
  EXPECT_EQ(this->core.Status(this->now).services[0].agents.size(), 1U);
  EXPECT_EQ(this->Find<SendStart>(), nullptr);
  EXPECT_EQ(this->Answered(1), nullptr);
  this->Wait(Milliseconds(500));
  ASSERT_NE(this->Answered(1), nullptr);
  EXPECT_EQ(this->Answered(1)->reason, "deadline");
  EXPECT_EQ(this->core.Status(this->now).services[0].agents.size(), 1U);
  this->Wait(Milliseconds(500));
  EXPECT_TRUE(this->core.Status(this->now).services[0].agents.empty());
}

TEST_F(EntryCoreTest, NeverTakesAnOlderConfiguration) {
  auto older = std::make_shared<ServiceConfiguration>(*this->configuration);
  older->version = 2;
  this->Send(ConfigurationChanged{older});
  EXPECT_EQ(this->core.Status(this->now).services[0].configuration_version, 3U);
}

TEST_F(EntryCoreTest, ClaimsAKeyAndForwardsToTheTicketsOwner) {
  this->AddAgent(kAgent, "a");
  Submission job = this->Job({});
  job.ticket.reset();
  job.key = "order-7";
  this->Send(JobSubmitted{1, job});
  ASSERT_NE(this->Find<ClaimKey>(), nullptr);
  const Ticket claimed = this->Find<ClaimKey>()->ticket;
  this->Send(KeyClaimed{1, claimed});
  EXPECT_NE(this->Find<SendStart>(), nullptr);
  // The key may have run through another entry, so an outage proves nothing.
  this->Send(JobSubmitted{2, job});
  this->Send(KeyClaimed{2, Error{ErrorKind::kPlatformUnavailable, "outage"}});
  EXPECT_EQ(this->Answered(2)->error, ErrorKind::kPlatformUnavailable);
  EXPECT_FALSE(this->Answered(2)->not_run);
  this->Greet(1, {});
  this->Send(JobSubmitted{3, job});
  this->Send(KeyClaimed{3, Ticket{"s", kPeer, 1, 1}});
  ASSERT_NE(this->Find<SendForward>(), nullptr);
  EXPECT_EQ(this->Find<SendForward>()->address, "peer");
}

TEST_F(EntryCoreTest, ForwardsUntilTakenAndPassesTheAnswerOnOnce) {
  this->Greet(1, {});
  const Ticket ticket{"s", kPeer, 1, 1};
  this->Send(JobSubmitted{1, this->Job(ticket)});
  ASSERT_NE(this->Find<SendForward>(), nullptr);
  this->Send(ForwardReplied{1, kPeer, Error{ErrorKind::kTimeout, ""}});
  this->Wait(Milliseconds(100));
  ASSERT_NE(this->Find<SendForward>(), nullptr);
  this->Send(ForwardReplied{1, kPeer, ForwardReply{kPeer, true}});
  this->Wait(Milliseconds(100));
  EXPECT_EQ(this->Find<SendForward>(), nullptr);
  AnswerRequest message{kSelf, 1, {}};
  message.answer.status = AnswerStatus::kComplete;
  message.answer.ticket = ticket;
  this->Send(AnswerReceived{5, message});
  EXPECT_NE(this->Answered(1), nullptr);
  this->Send(AnswerReceived{6, message});
  EXPECT_EQ(this->Answered(1), nullptr);
  EXPECT_FALSE(this->Find<ReplyAcknowledgement>()->reply.accepted);
}

// A dead owner's job is salvaged, and the result stays the same for later submissions.
TEST_F(EntryCoreTest, SalvagesForADeadOwnerWithAFinalAnswer) {
  this->Greet(4, {{"s", kAgent, "a", 1, 0}});
  const Ticket ticket{"s", kPeer, 1, 4};
  this->Send(JobSubmitted{1, this->Job(ticket)});
  this->Send(ForwardReplied{1, kPeer, ForwardReply{{1, 3}, false}});
  this->Wait(Milliseconds(200));
  ASSERT_NE(this->Find<SendSeal>(), nullptr);
  EXPECT_EQ(this->Find<SendSeal>()->agent, kAgent);
  this->Send(JobSubmitted{2, this->Job(ticket)});
  SealReply reply;
  reply.agent = kAgent;
  this->Send(SealReplied{kAgent, ticket, reply});
  EXPECT_TRUE(this->Answered(1)->not_run);
  EXPECT_TRUE(this->Answered(2)->not_run);
  this->Send(JobSubmitted{3, this->Job(ticket)});
  EXPECT_TRUE(this->Answered(3)->not_run);
  EXPECT_EQ(this->core.Status(this->now).counters.salvages, 1U);
}

// After the loss of a data centre, each salvage would wait anew for agents that this entry has
// declared lost already.
TEST_F(EntryCoreTest, SalvageDoesNotWaitAgainForAnAgentDeclaredLost) {
  this->Greet(4, {{"s", kAgent, "a", 1, 0}});
  this->AddAgent(kAgent, "a");
  for (int i = 0; i < 2000 && !this->core.Status(this->now).services[0].agents.empty(); ++i) {
    this->Wait(Milliseconds(100));
  }
  ASSERT_TRUE(this->core.Status(this->now).services[0].agents.empty());
  const Ticket ticket{"s", kPeer, 1, 4};
  Submission job = this->Job(ticket);
  job.deadline = seconds(120);
  this->Send(JobSubmitted{1, job});
  this->Send(ForwardReplied{1, kPeer, ForwardReply{{1, 3}, false}});
  this->Wait(Milliseconds(200));
  ASSERT_NE(this->Find<SendSeal>(), nullptr);
  this->Send(SealReplied{kAgent, ticket, Error{ErrorKind::kUnreachable, ""}});
  ASSERT_NE(this->Answered(1), nullptr);
  EXPECT_EQ(this->Answered(1)->reason, "outcome_unknown");
  EXPECT_FALSE(this->Answered(1)->not_run);
}

// Calls to one peer wait behind each other, so a frozen owner of many jobs would delay the salvage
// of each by the timeouts of all before it.
TEST_F(EntryCoreTest, OneTimeoutOfADeadOwnerSalvagesAllItsJobs) {
  this->Greet(4, {{"s", kAgent, "a", 1, 0}});
  for (RequestId request = 1; request <= 2; ++request) {
    Submission job = this->Job({"s", kPeer, request, 4});
    job.deadline = seconds(120);
    this->Send(JobSubmitted{request, job});
    ASSERT_NE(this->Find<SendForward>(), nullptr);
  }
  for (int i = 0; i < 110; ++i) {
    this->Wait(Milliseconds(100));
  }
  EXPECT_EQ(this->core.Status(this->now).counters.salvages, 0U);
  this->Send(ForwardReplied{1, kPeer, Error{ErrorKind::kTimeout, ""}});
  this->Wait(Milliseconds(200));
  EXPECT_EQ(this->core.Status(this->now).counters.salvages, 2U);
}

TEST_F(EntryCoreTest, RepeatedForwardsAreOneWaiter) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const ForwardRequest forward{{kPeer, "peer", "dc"}, 11, this->Job(ticket)};
  this->Send(ForwardReceived{1, forward});
  EXPECT_TRUE(this->Find<ReplyForward>()->reply.taken);
  this->Send(ForwardReceived{2, forward});
  this->Finish(ticket);
  int answers = 0;
  for (const EntryAction& action : this->actions) {
    answers += std::holds_alternative<SendAnswer>(action) ? 1 : 0;
  }
  EXPECT_EQ(answers, 1);
  this->Send(AnswerReplied{kPeer, 11, Error{ErrorKind::kTimeout, ""}});
  this->Wait(Milliseconds(100));
  ASSERT_NE(this->Find<SendAnswer>(), nullptr);
  this->Send(AnswerReplied{kPeer, 11, Acknowledgement{kPeer, true}});
  this->Wait(seconds(1));
  EXPECT_EQ(this->Find<SendAnswer>(), nullptr);
}

TEST_F(EntryCoreTest, FinishesJobsHandsOverAndTellsItsPeersBeforeItDeparts) {
  this->Greet(1, {});
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const Ticket unused = this->NewTicket();
  this->Start(ticket);
  this->Send(LeaveRequested{});
  this->Send(JobSubmitted{2, this->Job(unused)});
  EXPECT_EQ(this->Answered(2)->error, ErrorKind::kLeaving);
  this->Send(JobSubmitted{3, this->Job(ticket)});
  EXPECT_EQ(this->Answered(3), nullptr);
  EXPECT_EQ(this->Find<SendHandOver>(), nullptr);
  this->Finish(ticket);
  EXPECT_NE(this->Answered(3), nullptr);
  ASSERT_NE(this->Find<SendHandOver>(), nullptr);
  const HandOver part = this->Find<SendHandOver>()->message;
  this->Send(HandOverReplied{kPeer, "s", Error{ErrorKind::kTimeout, ""}});
  this->Wait(Milliseconds(300));
  ASSERT_NE(this->Find<SendHandOver>(), nullptr);
  this->Send(HandOverReplied{kPeer, "s", Acknowledgement{kPeer, true}});
  EXPECT_EQ(this->Find<Departed>(), nullptr);
  this->Wait(seconds(2));
  EXPECT_NE(this->Find<Departed>(), nullptr);

  EntryCore successor({kPeer, "peer", "dc"}, {"s"}, {}, 1);
  successor.Handle(this->now, ConfigurationChanged{this->configuration});
  successor.Handle(this->now, HandOverReceived{1, part});
  this->actions = successor.Handle(this->now, JobSubmitted{4, this->Job(ticket)});
  EXPECT_EQ(this->Answered(4)->status, AnswerStatus::kComplete);
  this->actions = successor.Handle(this->now, JobSubmitted{5, this->Job(unused)});
  EXPECT_TRUE(this->Answered(5)->not_run);
  EXPECT_EQ(this->Answered(5)->fresh_tickets.size(), 1U);
}

// A successor that dies or refuses after some parts must not answer for the ledger, and the next
// one needs all parts: otherwise used tickets pass for unused, or answers are lost.
TEST_F(EntryCoreTest, AHandOverThatStopsHalfWayGoesWholeToAnotherSuccessor) {
  TicketLedger ledger("s", kSelf);
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
  // The last part does not arrive. Neither a used nor an unused ticket is answered from the rest.
  this->actions = first.Handle(this->now, JobSubmitted{4, this->Job(tickets.back())});
  EXPECT_EQ(this->Answered(4), nullptr);
  EXPECT_FALSE(hand_over(second, parts.back()));
  for (const HandOver& part : parts) EXPECT_TRUE(hand_over(second, part));
  for (std::size_t i = 0; i < 10000; i += 999) {
    this->actions = second.Handle(this->now, JobSubmitted{100 + i, this->Job(tickets[i])});
    ASSERT_NE(this->Answered(100 + i), nullptr);
    EXPECT_EQ(this->Answered(100 + i)->results.front(), std::to_string(i));
  }
  this->actions = second.Handle(this->now, JobSubmitted{5, this->Job(tickets.back())});
  EXPECT_TRUE(this->Answered(5)->not_run);
  // The unfinished rest is dropped: a late part does not revive it.
  this->now += seconds(20);
  first.Handle(this->now, Tick{});
  EXPECT_FALSE(hand_over(first, parts.back()));
}

// Adopted ledgers must not take all memory of an entry when many others leave.
TEST_F(EntryCoreTest, RefusesLedgersBeyondItsMemory) {
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

TEST_F(EntryCoreTest, DepartsWithoutASuccessor) {
  this->Send(LeaveRequested{});
  for (int i = 0; i < 80 && this->Find<Departed>() == nullptr; ++i) this->Wait(Milliseconds(100));
  EXPECT_NE(this->Find<Departed>(), nullptr);
}

TEST_F(EntryCoreTest, CancelStopsRunningTasks) {
  this->AddAgent(kAgent, "a");
  const Ticket ticket = this->NewTicket();
  const StartRequest start = this->Start(ticket);
  this->Send(StartReplied{kAgent, start.channel_sequence, this->Decide(kAgent, {})});
  this->Send(JobCancelled{9, ticket});
  ASSERT_NE(this->Find<SendWithdraw>(), nullptr);
  EXPECT_TRUE(this->Find<SendWithdraw>()->message.stop_running);
  this->Wait(Milliseconds(400));
  this->Wait(Milliseconds(101));
  ASSERT_NE(this->Find<AnswerQuery>(), nullptr);
  EXPECT_EQ(this->Answered(1)->reason, "cancelled");
  EXPECT_FALSE(this->Answered(1)->not_run);
}

}  // namespace
}  // namespace quetzalvale
