// Graceful departure, and ledgers received from entries that leave.
#include <algorithm>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

/// Ledgers of departed entries that are held at a time.
constexpr std::size_t kMaxAdopted = 256;

/// Their memory together. One ledger has at most 32 MB of answers and 48 MB of used sequences.
constexpr std::size_t kMaxAdoptedBytes = std::size_t{128} << 20;

/// A hand-over that has found no successor by then is given up; salvage answers for the tickets.
constexpr seconds kHandOverLimit{15};

/// A hand-over that has begun here and does not go on for this long went to another successor.
constexpr seconds kUnfinishedKept = kHandOverLimit;

/// With no live peer in sight, this is how long one may still appear.
constexpr seconds kNoPeerLimit{5};

/// Pause before peers that failed are tried again.
constexpr Milliseconds kRetryPause{200};

/// How long the entry waits until all peers have heard who the successor is.
constexpr seconds kTellLimit{2};

}  // namespace

void EntryCore::On(const LeaveRequested& /*event*/) {
  if (this->IsLeaving()) {
    return;
  }
  this->departure.stage = Departure::Stage::kFinishing;
  this->Log(1020, "departure_started", "jobs=" + std::to_string(this->jobs.Unanswered()));
  this->peers.RequestHelloToAll();
  this->SendHellos();
}

void EntryCore::AdvanceDeparture() {
  switch (this->departure.stage) {
    case Departure::Stage::kNone:
    case Departure::Stage::kDeparted:
      return;
    case Departure::Stage::kFinishing:
      if (this->guards.may_hand_over(this->jobs.Unanswered() == 0 && this->key_claims.empty() &&
                                     this->forwards.IsEmpty() && this->salvages.empty() &&
                                     this->outbox.IsEmpty())) {
        this->BeginHandOver();
        this->ContinueHandOver();
      }
      return;
    case Departure::Stage::kHandingOver:
      this->ContinueHandOver();
      return;
    case Departure::Stage::kTelling:
      if (this->now >= this->departure.give_up ||
          this->peers.IsHelloRoundComplete(this->Health().agent_lost, this->now)) {
        this->departure.stage = Departure::Stage::kDeparted;
        this->Log(1023, "departed", "");
        this->Do(Departed{});
      }
      return;
  }
}

void EntryCore::BeginHandOver() {
  this->departure.stage = Departure::Stage::kHandingOver;
  const bool has_peers = !this->peers.LivePeers(this->Health().agent_lost, this->now).empty();
  this->departure.give_up = this->now + (has_peers ? kHandOverLimit : kNoPeerLimit);
  const auto add = [this](const TicketLedger& ledger) {
    for (HandOver& part : ledger.Export()) {
      this->departure.parts.push_back(std::move(part));
    }
  };
  for (const auto& [name, service] : this->services) {
    add(service.ledger);
  }
  for (const auto& [key, handed_over] : this->adopted) {
    if (handed_over.ledger.IsImported()) {
      add(handed_over.ledger);
    }
  }
}

void EntryCore::ChooseSuccessor() {
  std::vector<EntryInfo> candidates;
  for (const EntryInfo& peer : this->peers.LivePeers(this->Health().agent_lost, this->now)) {
    const bool tried =
        std::ranges::find(this->departure.tried, peer.incarnation) != this->departure.tried.end();
    if (!tried && !this->peers.Find(peer.incarnation)->leaving) {
      candidates.push_back(peer);
    }
  }
  if (candidates.empty()) {
    // A peer that failed once may have been busy.
    this->departure.tried.clear();
    this->departure.next_choice = this->now + kRetryPause;
    return;
  }
  const std::size_t chosen =
      std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(this->random);
  this->departure.successor = candidates[chosen];
  this->departure.next_part = 0;
}

void EntryCore::ContinueHandOver() {
  Departure& leaving = this->departure;
  if (leaving.in_flight) {
    return;
  }
  if (leaving.successor && leaving.next_part == leaving.parts.size()) {
    this->Log(1021, "handed_over", "successor=" + leaving.successor->incarnation.Text());
    this->TellSuccession();
    return;
  }
  if (this->now >= leaving.give_up) {
    leaving.successor.reset();
    this->Log(1022, "hand_over_given_up", "");
    this->TellSuccession();
    return;
  }
  if (!leaving.successor && this->now >= leaving.next_choice) {
    this->ChooseSuccessor();
  }
  if (leaving.successor && leaving.next_part < leaving.parts.size()) {
    leaving.in_flight = true;
    this->Do(SendHandOver{leaving.successor->address, leaving.successor->incarnation,
                          leaving.parts[leaving.next_part]});
  }
}

void EntryCore::On(const HandOverReplied& event) {
  Departure& leaving = this->departure;
  if (leaving.stage != Departure::Stage::kHandingOver || !leaving.in_flight || !leaving.successor ||
      leaving.successor->incarnation != event.to) {
    return;
  }
  leaving.in_flight = false;
  const auto* reply = std::get_if<Acknowledgement>(&event.reply);
  if (reply != nullptr && reply->from == event.to && reply->accepted) {
    ++leaving.next_part;
    return;
  }
  // All parts go to one successor, which is the one that the succession names.
  leaving.tried.push_back(event.to);
  leaving.successor.reset();
}

void EntryCore::TellSuccession() {
  Departure& leaving = this->departure;
  leaving.stage = Departure::Stage::kTelling;
  leaving.give_up = this->now + kTellLimit;
  leaving.parts.clear();
  if (leaving.successor) {
    for (const auto& [key, handed_over] : this->adopted) {
      if (handed_over.ledger.IsImported()) {
        this->peers.AddSuccession({key.first, *leaving.successor}, true);
      }
    }
  }
  this->peers.RequestHelloToAll();
  this->SendHellos();
}

bool EntryCore::MayAdopt(const HandOver& message) const {
  if (this->IsLeaving() || message.owner == this->self.incarnation ||
      this->FindService(message.service) == nullptr) {
    return false;
  }
  std::size_t bytes = 0;
  for (const auto& [key, handed_over] : this->adopted) {
    bytes += handed_over.ledger.ImportedBytes();
  }
  const bool known = this->adopted.contains({message.owner, message.service});
  return bytes < kMaxAdoptedBytes && (known || this->adopted.size() < kMaxAdopted);
}

void EntryCore::On(const HandOverReceived& event) {
  const HandOver& message = event.message;
  bool accepted = this->MayAdopt(message);
  if (accepted) {
    auto& entry =
        this->adopted
            .try_emplace({message.owner, message.service},
                         AdoptedLedger{TicketLedger(message.service, message.owner), this->now})
            .first->second;
    entry.ledger.SetLimits(this->FindService(message.service)->configuration->tickets);
    const bool before = entry.ledger.IsImported();
    accepted = entry.ledger.Import(message, this->now);
    entry.adopted = this->now;
    if (!before && entry.ledger.IsImported()) {
      this->peers.AddSuccession({message.owner, this->self}, false);
      this->Log(1024, "ledger_adopted",
                "owner=" + message.owner.Text() + " service=" + message.service);
      this->peers.RequestHelloToAll();
      this->SendHellos();
    }
  }
  this->Do(ReplyAcknowledgement{event.request, {this->self.incarnation, accepted}});
}

void EntryCore::ExpireAdopted(Time::duration kept) {
  std::erase_if(this->adopted, [&](const auto& element) {
    const AdoptedLedger& handed_over = element.second;
    const Time::duration limit = handed_over.ledger.IsImported() ? kept : kUnfinishedKept;
    return this->now - handed_over.adopted >= limit;
  });
}

}  // namespace quetzalvale
