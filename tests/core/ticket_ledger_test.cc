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

// A second use of a ticket would start its tasks again.
TEST(TicketLedgerTest, TakesATicketOnce) {
  TicketLedger ledger = MakeLedger();
  const Ticket ticket = ledger.Issue(1, 3, kStart).front();
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kUnused);
  EXPECT_TRUE(ledger.MarkUsed(ticket, kStart));
  EXPECT_FALSE(ledger.MarkUsed(ticket, kStart));
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kUsed);
}

// The same sequence under another roster number would pass as another ticket and run twice.
TEST(TicketLedgerTest, DoesNotKnowATicketWithAnotherRoster) {
  TicketLedger ledger = MakeLedger();
  Ticket ticket = ledger.Issue(1, 3, kStart).front();
  ticket.roster = 4;
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kNeverIssued);
  ticket = ledger.Issue(1, 4, kStart).front();
  ticket.roster = 3;
  EXPECT_EQ(ledger.StateOf(ticket, kStart), TicketState::kNeverIssued);
}

// A caller that was told "not run" must not see its job run when a delayed copy arrives.
TEST(TicketLedgerTest, TakesNoTicketThatWasRefusedOrHasExpired) {
  TicketLedger ledger = MakeLedger();
  const auto tickets = ledger.Issue(2, 1, kStart);
  ledger.MarkRefused(tickets[0]);
  EXPECT_EQ(ledger.StateOf(tickets[0], kStart), TicketState::kRefused);
  EXPECT_FALSE(ledger.MarkUsed(tickets[0], kStart));
  const Time late = kStart + seconds(60);
  EXPECT_EQ(ledger.StateOf(tickets[1], late), TicketState::kExpired);
  EXPECT_FALSE(ledger.MarkUsed(tickets[1], late));
}

// Below the floor the ledger no longer knows whether a ticket was used, and must not say "not run".
TEST(TicketLedgerTest, ForgetsOldBlocksAndAnswers) {
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

// A successor that took a used ticket for an unused one would say "not run" of a job that ran; one
// that has only some parts must not say it of any.
TEST(TicketLedgerTest, SaysUnusedOnlyWhenAllPartsAreThere) {
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
  TicketLedger all("s", kOwner);
  EXPECT_FALSE(all.Import(parts.back(), kStart));
  for (const HandOver& part : parts) {
    EXPECT_FALSE(all.IsImported());
    EXPECT_NE(all.StateOf(tickets[0], kStart), TicketState::kUnused);
    EXPECT_NE(all.StateOf(tickets[1], kStart), TicketState::kUnused);
    EXPECT_TRUE(all.Import(part, kStart));
    EXPECT_TRUE(all.Import(part, kStart));
  }
  EXPECT_TRUE(all.IsImported());
  for (std::size_t i = 0; i < tickets.size(); ++i) {
    EXPECT_EQ(all.StateOf(tickets[i], kStart),
              i % 2 == 0 ? TicketState::kUsed : TicketState::kUnused);
  }
  EXPECT_EQ(all.FindAnswer(tickets[598].sequence)->answer.results.front(), "598");
  EXPECT_FALSE(all.MarkUsed(tickets[1], kStart));
  EXPECT_TRUE(all.Issue(1, 1, kStart).empty());
  EXPECT_EQ(all.StateOf({"s", kOwner, 601, 1}, kStart), TicketState::kNeverIssued);
}

// A ledger at full size would make messages beyond what a peer accepts, or as many copies of its
// used sequences as there are parts.
TEST(TicketLedgerTest, PartsOfAFullLedgerAreSmall) {
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
  TicketLedger all("s", kOwner);
  all.SetLimits(ServiceConfiguration::Tickets());
  for (const HandOver& part : ledger.Export()) {
    used += part.used.size();
    answers += part.answers.size();
    EXPECT_LE(part.used.size(), 16384U);
    EXPECT_LE(part.answers.size(), 256U);
    EXPECT_TRUE(all.Import(part, kStart));
  }
  EXPECT_EQ(used, 300000U);
  EXPECT_EQ(answers, 10000U);
  EXPECT_TRUE(all.IsImported());
  EXPECT_NE(all.FindAnswer(tickets.back().sequence), nullptr);
  EXPECT_LT(all.ImportedBytes(), std::size_t{64} << 20);
}

// Holds the ledger against a plain map over random issues, uses, refusals and waits.
TEST(TicketLedgerTest, AgreesWithAMapOfTickets) {
  const auto check = [](std::vector<std::pair<std::uint8_t, std::uint8_t>> steps) {
    TicketLedger ledger = MakeLedger();
    Time now = kStart;
    std::vector<Ticket> issued;
    std::map<std::uint64_t, TicketState> known;
    for (const auto& [what, which] : steps) {
      if (what % 4 == 0 || issued.empty()) {
        issued.push_back(ledger.Issue(1, 1 + which % 3, now).front());
        known[issued.back().sequence] = TicketState::kUnused;
        continue;
      }
      const Ticket& ticket = issued[which % issued.size()];
      const TicketState state = ledger.StateOf(ticket, now);
      const TicketState last = known[ticket.sequence];
      RC_ASSERT(state == last || state == TicketState::kForgotten ||
                (last == TicketState::kUnused && state == TicketState::kExpired));
      if (what % 4 == 1) {
        RC_ASSERT(ledger.MarkUsed(ticket, now) == (state == TicketState::kUnused));
        if (state == TicketState::kUnused) known[ticket.sequence] = TicketState::kUsed;
      } else if (what % 4 == 2 && state == TicketState::kUnused) {
        ledger.MarkRefused(ticket);
        known[ticket.sequence] = TicketState::kRefused;
      } else {
        now += seconds(which % 20);
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
