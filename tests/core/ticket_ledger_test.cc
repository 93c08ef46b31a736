#include "core/entry/ticket_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <utility>

namespace quetzalvale {
namespace {

using std::chrono::seconds;

constexpr Incarnation kOwner{1, 2};
const Time kStart{seconds(100)};

TicketLedger MakeLedger() {
  TicketLedger ledger("s", kOwner);
  ServiceConfiguration::Tickets limits;
  limits.block = 4;
  limits.valid = seconds(60);
  limits.answers_kept = 3;
  limits.answer_kept = seconds(30);
  ledger.SetLimits(limits);
  return ledger;
}

Answer Complete(const std::string& result) {
  Answer answer;
  answer.status = AnswerStatus::kComplete;
  answer.results = {result};
  return answer;
}

// If a ticket could be used twice, its tasks would be started twice.
TEST(TicketLedgerTest, AcceptsATicketOnce) {
  TicketLedger ledger = MakeLedger();
  const Ticket ticket = ledger.Issue(1, 3, kStart).front();
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kUnused);
  EXPECT_TRUE(ledger.MarkUsed(ticket, kStart));
  EXPECT_FALSE(ledger.MarkUsed(ticket, kStart));
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kUsed);
}

// If the roster number were ignored, a job could run a second time under the same sequence.
TEST(TicketLedgerTest, RejectsATicketWithAnotherRosterNumber) {
  TicketLedger ledger = MakeLedger();
  Ticket ticket = ledger.Issue(1, 3, kStart).front();
  ticket.roster = 4;
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kNeverIssued);
  ticket = ledger.Issue(1, 4, kStart).front();
  ticket.roster = 3;
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kNeverIssued);
}

// After the caller was told "not run", a delayed copy of the submission must not run the job.
TEST(TicketLedgerTest, AcceptsNoRefusedOrExpiredTicket) {
  TicketLedger ledger = MakeLedger();
  const auto tickets = ledger.Issue(2, 1, kStart);
  ledger.Refuse(tickets[0]);
  EXPECT_EQ(ledger.StateOf(tickets[0], kStart), TicketState::kRefused);
  EXPECT_FALSE(ledger.MarkUsed(tickets[0], kStart));
  const Time late = kStart + seconds(60);
  EXPECT_EQ(ledger.StateOf(tickets[1], late), TicketState::kExpired);
  EXPECT_FALSE(ledger.MarkUsed(tickets[1], late));
}

// Below the floor it is not known whether a ticket was used, so it must not be reported as unused.
TEST(TicketLedgerTest, DropsOldBlocksAndAnswers) {
  TicketLedger ledger = MakeLedger();
  const auto tickets = ledger.Issue(2, 1, kStart);
  ledger.MarkUsed(tickets[0], kStart);
  ledger.KeepAnswer(tickets[0].sequence, 7, Complete("1"), kStart);
  ledger.Expire(kStart + seconds(29));
  EXPECT_NE(ledger.FindAnswer(tickets[0].sequence), nullptr);
  ledger.Expire(kStart + seconds(30));
  EXPECT_EQ(ledger.FindAnswer(tickets[0].sequence), nullptr);
  EXPECT_EQ(ledger.StateOf(tickets[0], kStart + seconds(89)), TicketState::kUsed);
  ledger.Expire(kStart + seconds(90));
  EXPECT_EQ(ledger.BlockCount(), 0U);
  EXPECT_EQ(ledger.StateOf(tickets[1], kStart + seconds(90)), TicketState::kForgotten);
}

TEST(TicketLedgerTest, KeepsTheNewestAnswers) {
  TicketLedger ledger = MakeLedger();
  for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
    ledger.KeepAnswer(sequence, 0, Complete("1"), kStart);
  }
  EXPECT_EQ(ledger.FindAnswer(1), nullptr);
  EXPECT_NE(ledger.FindAnswer(2), nullptr);
}

// A successor that reports a used ticket as unused would answer "not run" for a job that ran. Until
// it has all parts of the snapshot it must not report any ticket as unused.
TEST(TicketLedgerTest, ReportsUnusedOnlyAfterAllPartsWereImported) {
  TicketLedger ledger = MakeLedger();
  ServiceConfiguration::Tickets limits;
  ledger.SetLimits(limits);
  const auto tickets = ledger.Issue(600, 1, kStart);
  for (std::size_t i = 0; i < tickets.size(); i += 2) {
    ledger.MarkUsed(tickets[i], kStart);
    ledger.KeepAnswer(tickets[i].sequence, i, Complete(std::to_string(i)), kStart);
  }
  const auto parts = ledger.Export();
  ASSERT_GE(parts.size(), 2U);
  TicketLedger successor("s", kOwner);
  EXPECT_FALSE(successor.Import(parts.back(), kStart));
  for (const HandOver& part : parts) {
    EXPECT_FALSE(successor.IsImported());
    EXPECT_NE(successor.StateOf(tickets[0], kStart), TicketState::kUnused);
    EXPECT_NE(successor.StateOf(tickets[1], kStart), TicketState::kUnused);
    EXPECT_TRUE(successor.Import(part, kStart));
    EXPECT_TRUE(successor.Import(part, kStart));
  }
  EXPECT_TRUE(successor.IsImported());
  for (std::size_t i = 0; i < tickets.size(); ++i) {
    EXPECT_EQ(successor.StateOf(tickets[i], kStart),
              i % 2 == 0 ? TicketState::kUsed : TicketState::kUnused);
  }
  EXPECT_EQ(successor.FindAnswer(tickets[598].sequence)->answer.results.front(), "598");
  EXPECT_FALSE(successor.MarkUsed(tickets[1], kStart));
  EXPECT_TRUE(successor.Issue(1, 1, kStart).empty());
  EXPECT_EQ(successor.StateOf({"s", kOwner, 601, 1}, kStart), TicketState::kNeverIssued);
}

// The snapshot of a large ledger must be split into messages of a size that a peer accepts, and
// must not repeat the used sequences in every part.
TEST(TicketLedgerTest, SnapshotPartsOfAFullLedgerAreSmall) {
  TicketLedger ledger = MakeLedger();
  ledger.SetLimits(ServiceConfiguration::Tickets());
  const auto tickets = ledger.Issue(300000, 1, kStart);
  for (std::size_t i = 0; i < tickets.size(); ++i) {
    ledger.MarkUsed(tickets[i], kStart);
    if (i + 10000 >= tickets.size()) {
      ledger.KeepAnswer(tickets[i].sequence, i, Complete(std::string(1000, 'x')), kStart);
    }
  }
  std::size_t used = 0;
  std::size_t answers = 0;
  TicketLedger successor("s", kOwner);
  successor.SetLimits(ServiceConfiguration::Tickets());
  for (const HandOver& part : ledger.Export()) {
    used += part.used.size();
    answers += part.answers.size();
    EXPECT_LE(part.used.size(), 16384U);
    EXPECT_LE(part.answers.size(), 256U);
    EXPECT_TRUE(successor.Import(part, kStart));
  }
  EXPECT_EQ(used, 300000U);
  EXPECT_EQ(answers, 10000U);
  EXPECT_TRUE(successor.IsImported());
  EXPECT_NE(successor.FindAnswer(tickets.back().sequence), nullptr);
  EXPECT_LT(successor.ImportedBytes(), std::size_t{64} << 20);
}

// Compares the ledger with a plain map over random sequences of issues, uses, refusals and waits.
TEST(TicketLedgerTest, MatchesAMapOfTickets) {
  const auto check = [](std::vector<std::pair<std::uint8_t, std::uint8_t>> steps) {
    TicketLedger ledger = MakeLedger();
    Time now = kStart;
    std::vector<Ticket> issued;
    std::map<std::uint64_t, TicketState> expected_states;
    for (const auto& [choice, argument] : steps) {
      if (choice % 4 == 0 || issued.empty()) {
        issued.push_back(ledger.Issue(1, 1 + argument % 3, now).front());
        expected_states[issued.back().sequence] = TicketState::kUnused;
        continue;
      }
      const Ticket& ticket = issued[argument % issued.size()];
      const TicketState state = ledger.StateOf(ticket, now);
      const TicketState expected = expected_states[ticket.sequence];
      RC_ASSERT(state == expected || state == TicketState::kForgotten ||
                (expected == TicketState::kUnused && state == TicketState::kExpired));
      if (choice % 4 == 1) {
        RC_ASSERT(ledger.MarkUsed(ticket, now) == (state == TicketState::kUnused));
        if (state == TicketState::kUnused) expected_states[ticket.sequence] = TicketState::kUsed;
      } else if (choice % 4 == 2 && state == TicketState::kUnused) {
        ledger.Refuse(ticket);
        expected_states[ticket.sequence] = TicketState::kRefused;
      } else {
        now += seconds(argument % 20);
        ledger.Expire(now);
      }
    }
  };
  const rc::detail::TestMetadata metadata{"ledger", ""};
  const rc::detail::TestParams parameters{20261204, 300, 100, 10, false};
  const auto result = rc::detail::checkTestable(check, metadata, parameters);
  rc::detail::printResultMessage(result, std::cerr);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace quetzalvale
