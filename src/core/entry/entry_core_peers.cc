// Communication with other entries: hellos, forwarded submissions and their answers.
#include <algorithm>
#include <string>
#include <utility>

#include "core/entry/entries_digest.h"
#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Minimum interval between hellos sent because of roster changes. When many agents start at once,
/// peers learn of them from a few hellos instead of one per agent.
constexpr Milliseconds kRosterHelloInterval{50};

/// In task starts per second. A team's demand below this is left out of hellos. Far below one task
/// within the time over which demand is averaged.
constexpr double kMinReportedDemand = 0.001;

/// How long after a job's deadline to wait for its owner. The owner fails the job at the deadline
/// at the latest, and may delay the answer by up to 500 ms to obtain proof that no task ran.
constexpr Milliseconds kOwnerAnswerGrace{2000};

}  // namespace

// ---- Hellos ----

Hello EntryCore::MakeHello(const std::string& address) const {
  const Peer* peer = this->peers.FindByAddress(address);
  Hello hello;
  hello.entry = this->self;
  hello.leaving = this->IsLeaving();
  hello.evacuations = this->evacuations.Current();
  this->AddRoster(peer, hello);
  this->AddEntriesAndSuccessions(peer, hello);
  if (peer != nullptr) {
    hello.seen_roster = peer->roster_number;
    hello.seen_digest = peer->digest;
  }
  for (const auto& [name, service] : this->services) {
    hello.configuration_versions[name] = service.configuration->version;
    for (const TeamConfiguration& team : service.configuration->teams) {
      const double rate = service.quotas.Demand(team.name, this->now);
      if (rate >= kMinReportedDemand) {
        hello.demand[{name, team.name}] = rate;
      }
    }
  }
  return hello;
}

void EntryCore::AddRoster(const Peer* peer, Hello& hello) const {
  hello.roster_number = this->directory.RosterNumber();
  hello.complete_from = this->directory.CompleteFrom();
  // Changes since a number below complete_from may not include the removal of agents that left long
  // ago.
  const bool joins = peer != nullptr && peer->confirmed_roster >= hello.complete_from &&
                     peer->confirmed_roster <= hello.roster_number;
  hello.roster_base = joins ? peer->confirmed_roster : 0;
  hello.roster = this->directory.RosterSince(hello.roster_base);
}

void EntryCore::AddEntriesAndSuccessions(const Peer* peer, Hello& hello) const {
  hello.entries = this->peers.LivePeers(this->Health().agent_dead, this->now);
  hello.successions = this->peers.Successions();
  if (this->departure.stage == Departure::Stage::kAnnouncing && this->departure.successor) {
    hello.successions.push_back({this->self.incarnation, *this->departure.successor});
  }
  hello.digest = DigestOf(hello.entries, hello.successions);
  if (peer != nullptr && peer->confirmed_digest == hello.digest) {
    hello.entries.clear();
    hello.successions.clear();
  }
}

void EntryCore::SendHellos() {
  for (const std::string& address : this->peers.TakeDue(this->Health().heartbeat, this->now)) {
    ++this->counters.hellos_sent;
    this->Emit(SendHello{address, this->MakeHello(address)});
  }
}

void EntryCore::BroadcastRosterChange() {
  if (this->broadcast_roster == this->directory.RosterNumber() ||
      this->now < this->next_roster_hello) {
    return;
  }
  this->broadcast_roster = this->directory.RosterNumber();
  this->next_roster_hello = this->now + kRosterHelloInterval;
  this->peers.RequestHelloToAll();
  this->SendHellos();
}

bool EntryCore::ProcessHello(const Hello& hello) {
  this->ApplyEvacuations(hello.evacuations, hello.entry.address);
  const bool complete = this->peers.ApplyHello(hello, this->now);
  const Incarnation& sender = hello.entry.incarnation;
  const Peer* peer = this->peers.Find(sender);
  if (peer == nullptr || this->HasDeparted(*peer)) {
    return complete;
  }
  for (auto& [name, service] : this->services) {
    service.quotas.AddPeer(sender, this->now);
    for (const TeamConfiguration& team : service.configuration->teams) {
      const auto rate = hello.demand.find({name, team.name});
      service.quotas.SetPeerDemand(sender, team.name,
                                   rate == hello.demand.end() ? 0 : rate->second);
    }
  }
  return complete;
}

bool EntryCore::HasDeparted(const Peer& peer) const {
  return peer.gone || peer.leaving || this->peers.FindSuccessor(peer.info.incarnation).has_value();
}

void EntryCore::UpdateQuotas() {
  for (auto& [name, service] : this->services) {
    // A peer that is only silent may be on the other side of a network partition, where it still
    // grants its share of the quotas.
    for (const auto& [entry, peer] : this->peers.Peers()) {
      if (this->HasDeparted(peer)) {
        service.quotas.ForgetPeer(entry);
      }
    }
    service.quotas.SetReportInterval(this->peers.RotationPeriod());
    service.quotas.SetUnidentifiedPeers(this->peers.UnreachedSeeds(), this->now);
    service.quotas.Expire(this->now);
  }
}

void EntryCore::On(const HelloReceived& event) {
  const Hello& hello = event.hello;
  if (this->peers.RecordMessage(hello.entry, this->now) != nullptr) {
    this->ProcessHello(hello);
  }
  this->Emit(ReplyHello{event.request, this->MakeHello(hello.entry.address)});
}

void EntryCore::On(const HelloReplied& event) {
  const auto* hello = std::get_if<Hello>(&event.reply);
  this->peers.OnHelloResult(event.address, hello != nullptr, this->now);
  if (hello == nullptr || this->peers.RecordReply(hello->entry, this->now) == nullptr) {
    return;
  }
  const bool complete = this->ProcessHello(*hello);
  for (auto& [name, service] : this->services) {
    service.quotas.ConfirmPeer(hello->entry.incarnation, this->now);
  }
  if (!complete || hello->seen_roster < this->directory.RosterNumber()) {
    this->peers.PrioritizeHello(event.address);
  }
}

bool EntryCore::IsPeerAlive(const Incarnation& entry) const {
  const Peer* peer = this->peers.Find(entry);
  if (peer == nullptr || peer->gone) {
    return false;
  }
  return this->now < this->grace_until ||
         this->peers.IsAlive(entry, this->Health().agent_dead, this->now);
}

// ---- Submissions with another entry's ticket ----

EntryCore::AdoptedLedger* EntryCore::FindAdopted(const Ticket& ticket) {
  const auto found = this->adopted.find({ticket.owner, ticket.service});
  // If a hand-over is interrupted, all of the ledger goes to another successor, which answers for
  // it.
  const bool adopted_whole = found != this->adopted.end() && found->second.ledger.IsImported();
  return adopted_whole ? &found->second : nullptr;
}

bool EntryCore::TryAnswerForeignTicket(const Waiter& waiter, const Ticket& ticket,
                                       std::uint64_t body_hash) {
  if (const auto* stored = this->salvage_answers.Find(ticket)) {
    if (stored->body_hash != body_hash) {
      this->Refuse(waiter,
                   {ErrorKind::kConflict,
                    "the ticket was used for a job with another body; use a fresh one", false},
                   ticket);
    } else {
      this->Deliver(waiter, stored->answer);
    }
    return true;
  }
  const AdoptedLedger* adopted_ledger = this->FindAdopted(ticket);
  if (adopted_ledger == nullptr) {
    const auto successor = this->peers.FindSuccessor(ticket.owner);
    if (!successor || successor->incarnation != this->self.incarnation) {
      return false;
    }
    this->Refuse(waiter,
                 {ErrorKind::kAnswerExpired,
                  "the entry that issued the ticket left so long ago that the job's answer is no "
                  "longer kept; check what the job did before submitting the work again",
                  false},
                 ticket);
    return true;
  }
  switch (adopted_ledger->ledger.StateOf(ticket, this->now)) {
    case TicketState::kNeverIssued:
      this->Refuse(
          waiter,
          {ErrorKind::kUnknownTicket, "the ticket was never issued; use it as granted", false},
          ticket);
      break;
    case TicketState::kUsed:
    case TicketState::kForgotten:
      this->AnswerFromLedger(adopted_ledger->ledger, waiter, ticket, &body_hash);
      break;
    default:
      this->Refuse(waiter,
                   {ErrorKind::kTicketExpired,
                    "the entry that issued the ticket has left and nothing of the job ran; submit "
                    "again with a fresh ticket",
                    true},
                   ticket);
  }
  return true;
}

void EntryCore::SubmitWithForeignTicket(ServiceState& service, const Waiter& waiter,
                                        const Submission& submission) {
  if (this->TryAnswerForeignTicket(waiter, *submission.ticket, submission.body_hash)) {
    return;
  }
  if (waiter.kind != Waiter::Kind::kCaller) {
    return;
  }
  const Time deadline = this->now + EffectiveDeadline(service, submission);
  if (this->salvages.contains(*submission.ticket)) {
    this->StartSalvage(waiter, submission, deadline);
    return;
  }
  Forward* forward = this->forwards.Add(waiter.request, submission, deadline, this->now);
  if (forward == nullptr) {
    this->Refuse(
        waiter,
        {ErrorKind::kOverloaded,
         "too many requests are waiting for other entries; submit again later with the same "
         "ticket",
         false},
        submission.ticket);
    return;
  }
  ++this->counters.forwarded_submissions;
  this->AdvanceForward(*forward);
}

void EntryCore::AdvanceForwards() {
  for (const RequestId request : this->forwards.DueRequests(this->now)) {
    this->AdvanceForward(*this->forwards.Find(request));
  }
}

void EntryCore::AdvanceForward(Forward& forward) {
  const Ticket ticket = *forward.submission.ticket;
  const Waiter waiter{Waiter::Kind::kCaller, forward.request, {}};
  if (this->TryAnswerForeignTicket(waiter, ticket, forward.submission.body_hash)) {
    this->forwards.Erase(waiter.request);
    return;
  }
  if (this->now >= forward.deadline + kOwnerAnswerGrace) {
    this->forwards.Erase(waiter.request);
    Answer answer;
    answer.status = AnswerStatus::kFailed;
    answer.ticket = ticket;
    answer.reason = "outcome_unknown";
    answer.message =
        "the entry that holds the job did not answer in time; submit again with the same ticket to "
        "get the answer";
    this->CountAnswer(answer);
    this->Deliver(waiter, std::move(answer));
    return;
  }
  std::optional<EntryInfo> target = this->peers.FindSuccessor(ticket.owner);
  const Peer* owner = this->peers.Find(ticket.owner);
  if (!target && owner != nullptr && !owner->gone) {
    target = owner->info;
  }
  const bool alive = target && this->IsPeerAlive(target->incarnation);
  const bool asked = target && forward.failed && forward.target == target->incarnation;
  // Shortly after the start of this process, the owner may be alive and just not known yet.
  const bool may_appear =
      owner == nullptr && !target &&
      (this->now < this->grace_until || this->now - this->started_at < this->Health().agent_dead);
  const bool gone = !alive && (target ? asked : !may_appear);
  if (gone && this->now >= this->grace_until) {
    const auto taken = this->forwards.Take(waiter.request);
    this->StartSalvage(waiter, taken->submission, taken->deadline);
    return;
  }
  const bool waits = forward.taken && alive && forward.target == target->incarnation;
  if (!target || waits) {
    return;
  }
  this->forwards.MarkSent(forward, target->incarnation, this->now);
  this->Emit(SendForward{
      target->address, target->incarnation, {this->self, forward.request, forward.submission}});
}

void EntryCore::On(const ForwardReplied& event) {
  const auto* reply = std::get_if<ForwardReply>(&event.reply);
  if (reply != nullptr && reply->entry != event.to) {
    this->peers.MarkGone(event.to);
  }
  Forward* forward = this->forwards.Find(event.request);
  if (reply != nullptr && reply->entry == event.to) {
    if (const Peer* peer = this->peers.Find(event.to)) {
      this->peers.RecordReply(EntryInfo(peer->info), this->now);
    }
  }
  if (reply == nullptr) {
    this->peers.Suspect(event.to, this->now);
  }
  if (reply == nullptr && !this->IsPeerAlive(event.to)) {
    // Calls to one peer are sent one after another. Without this, each forward to the dead peer
    // would wait for its own timeout.
    this->forwards.ScheduleRetryForAll(event.to, this->now);
  }
  if (forward == nullptr || forward->target != event.to) {
    return;
  }
  if (reply == nullptr || reply->entry != event.to || !reply->taken) {
    this->forwards.ScheduleRetry(*forward, this->now);
    return;
  }
  forward->in_flight = false;
  forward->failed = false;
  forward->taken = true;
  forward->backoff = Milliseconds{0};
}

// ---- Submissions that another entry forwarded ----

void EntryCore::On(const ForwardReceived& event) {
  const ForwardRequest& message = event.message;
  this->peers.RecordMessage(message.from, this->now);
  const auto& ticket = message.submission.ticket;
  const bool served =
      ticket && this->FindService(ticket->service) != nullptr &&
      (ticket->owner == this->self.incarnation || this->FindAdopted(*ticket) != nullptr);
  this->Emit(ReplyForward{event.request, {this->self.incarnation, served}});
  if (!served || this->outbox.Contains(message.from.incarnation, message.request_id)) {
    return;
  }
  this->Submit({Waiter::Kind::kPeer, message.request_id, message.from}, message.submission);
}

void EntryCore::SendAnswers() {
  for (SendAnswer& answer : this->outbox.TakeDue(this->now)) {
    this->Emit(std::move(answer));
  }
}

void EntryCore::On(const AnswerReceived& event) {
  const AnswerRequest& message = event.message;
  const bool own = message.to == this->self.incarnation;
  const RequestId answered = this->guards.answered_request(this->forwards, message.request_id);
  const auto forward = own ? this->forwards.Take(answered) : std::nullopt;
  this->Emit(ReplyAcknowledgement{event.request, {this->self.incarnation, forward.has_value()}});
  if (!forward) {
    return;
  }
  this->Deliver({Waiter::Kind::kCaller, answered, {}}, message.answer);
}

void EntryCore::On(const AnswerReplied& event) {
  // Any reply means that the answer need not be sent again: it was delivered, or the request is no
  // longer known there, or the entry that forwarded it is gone.
  if (IsOk(event.reply)) {
    this->outbox.Discard(event.to, event.forwarded_request);
  } else {
    this->outbox.ScheduleRetry(event.to, event.forwarded_request, this->now);
  }
}

}  // namespace quetzalvale
