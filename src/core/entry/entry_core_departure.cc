// Graceful departure of this entry, and adoption of ticket ledgers from entries that leave.
#include <algorithm>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

/// Maximum number of ledgers of departed entries held at a time.
constexpr std::size_t kMaxAdopted = 256;

/// Limit on the total size of adopted ledgers, checked before each part is accepted. One ledger has
/// at most 32 MB of answers and 48 MB of used sequences.
constexpr std::size_t kMaxAdoptedBytes = std::size_t{128} << 20;

/// A hand-over that has found no successor within this time is given up. Jobs of its tickets are
/// then salvaged.
constexpr seconds kHandOverTimeout{15};

/// An incomplete ledger is dropped if no further part arrives for this long: the hand-over then
/// goes to another successor.
constexpr seconds kPartialLedgerRetention = kHandOverTimeout;

/// If no live peer is known when the hand-over begins, how long to wait for one to appear.
constexpr seconds kNoPeerTimeout{5};

/// Delay before peers that failed or refused are tried again.
constexpr Milliseconds kSuccessorRetryDelay{200};

/// Maximum time to wait until all peers have been told who the successor is.
constexpr seconds kAnnounceTimeout{2};

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
    case Departure::Stage::kAnnouncing:
      if (this->now >= this->departure.stage_deadline ||
          this->peers.IsHelloRoundComplete(this->Health().agent_lost, this->now)) {
        this->departure.stage = Departure::Stage::kDeparted;
        this->Log(1023, "departed", "");
        this->Emit(Departed{});
      }
      return;
  }
}

void EntryCore::BeginHandOver() {
  this->departure.stage = Departure::Stage::kHandingOver;
  const bool has_peers = !this->peers.LivePeers(this->Health().agent_lost, this->now).empty();
  this->departure.stage_deadline = this->now + (has_peers ? kHandOverTimeout : kNoPeerTimeout);
  const auto add = [this](const TicketLedger& ledger) {
    for (HandOver& part : ledger.Export()) {
      this->departure.parts.push_back(std::move(part));
    }
  };
  for (const auto& [name, service] : this->services) {
    add(service.ledger);
  }
  for (const auto& [key, adopted_ledger] : this->adopted) {
    if (adopted_ledger.ledger.IsImported()) {
      add(adopted_ledger.ledger);
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
    // Try all peers again: one that failed may only have been busy.
    this->departure.tried.clear();
    this->departure.next_selection = this->now + kSuccessorRetryDelay;
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
    this->AnnounceSuccession();
    return;
  }
  if (this->now >= leaving.stage_deadline) {
    leaving.successor.reset();
    this->Log(1022, "hand_over_given_up", "");
    this->AnnounceSuccession();
    return;
  }
  if (!leaving.successor && this->now >= leaving.next_selection) {
    this->ChooseSuccessor();
  }
  if (leaving.successor && leaving.next_part < leaving.parts.size()) {
    leaving.in_flight = true;
    this->Emit(SendHandOver{leaving.successor->address, leaving.successor->incarnation,
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
  // All parts must go to one successor, the one announced to the peers, so the hand-over starts
  // over with another one.
  leaving.tried.push_back(event.to);
  leaving.successor.reset();
}

void EntryCore::AnnounceSuccession() {
  Departure& leaving = this->departure;
  leaving.stage = Departure::Stage::kAnnouncing;
  leaving.stage_deadline = this->now + kAnnounceTimeout;
  leaving.parts.clear();
  if (leaving.successor) {
    for (const auto& [key, adopted_ledger] : this->adopted) {
      if (adopted_ledger.ledger.IsImported()) {
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
  for (const auto& [key, adopted_ledger] : this->adopted) {
    bytes += adopted_ledger.ledger.ImportedBytes();
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
  this->Emit(ReplyAcknowledgement{event.request, {this->self.incarnation, accepted}});
}

void EntryCore::ExpireAdopted(Time::duration retention) {
  std::erase_if(this->adopted, [&](const auto& element) {
    const AdoptedLedger& adopted_ledger = element.second;
    const Time::duration limit =
        adopted_ledger.ledger.IsImported() ? retention : kPartialLedgerRetention;
    return this->now - adopted_ledger.adopted >= limit;
  });
}

}  // namespace quetzalvale
