// Salvage: recovers the outcome of a job from the agents' records when the entry that owns its
// ticket is gone.
#include <algorithm>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Limited because each salvage in progress holds the outcomes of a job in memory.
constexpr std::size_t kMaxSalvages = 1024;
constexpr std::size_t kMaxWaiters = 64;

/// Minimum duration of a salvage, so that every agent is asked at least once however close the
/// job's deadline is.
constexpr Milliseconds kMinSalvageDuration{500};

}  // namespace

void EntryCore::StartSalvage(const Waiter& waiter, const Submission& submission, Time deadline) {
  const Ticket& ticket = *submission.ticket;
  const auto found = this->salvages.find(ticket);
  if (found != this->salvages.end()) {
    const bool conflict = found->second.body_hash != submission.body_hash;
    if (conflict || found->second.waiters.size() >= kMaxWaiters) {
      this->Refuse(waiter,
                   {conflict ? ErrorKind::kConflict : ErrorKind::kOverloaded,
                    conflict ? "the ticket was used for a job with another body; use a fresh one"
                             : "too many requests are waiting for this job; query its answer later",
                    false},
                   ticket);
      return;
    }
    found->second.waiters.push_back(waiter);
    return;
  }
  if (this->salvages.size() >= kMaxSalvages) {
    this->Refuse(waiter,
                 {ErrorKind::kOverloaded,
                  "too many jobs of departed entries are being recovered; submit again later "
                  "with the same ticket",
                  false},
                 ticket);
    return;
  }
  const PeerTable::RosterView roster = this->peers.RosterFor(ticket);
  std::vector<Salvage::Target> targets;
  for (const RosterItem& item : roster.agents) {
    targets.push_back({item.agent, item.address, this->directory.IsRemoved(item.agent)});
  }
  if (!roster.complete) {
    for (const auto& [incarnation, agent] : this->directory.Agents()) {
      if (agent.announce.service == ticket.service) {
        targets.push_back({incarnation, agent.announce.address, false});
      }
    }
  }
  const Time earliest = this->now + kMinSalvageDuration;
  Salvage::Limits limits;
  limits.deadline = std::max(deadline, earliest);
  limits.reply_deadline =
      std::clamp<Time>(this->now + this->Health().agent_dead, earliest, limits.deadline);
  ++this->counters.salvages;
  this->Log(1010, "salvage_started",
            "ticket=" + ticket.Text() + " agents=" + std::to_string(targets.size()) +
                " roster_known=" + (roster.complete ? "true" : "false"));
  SalvagedJob job{
      Salvage(ticket, submission.tasks.size(), std::move(targets), roster.complete, limits),
      submission.body_hash,
      {waiter}};
  auto& added = this->salvages.emplace(ticket, std::move(job)).first->second;
  this->SendSeals(ticket, added.salvage);
  this->FinishSalvage(ticket);
}

void EntryCore::SendSeals(const Ticket& ticket, Salvage& salvage) {
  for (const Salvage::Target& target : salvage.TakeDue(this->now)) {
    this->Emit(SendSeal{target.address, target.agent, {ticket, this->self.incarnation}});
  }
}

void EntryCore::AdvanceSalvages() {
  std::vector<Ticket> tickets;
  for (auto& [ticket, job] : this->salvages) {
    this->SendSeals(ticket, job.salvage);
    tickets.push_back(ticket);
  }
  for (const Ticket& ticket : tickets) {
    this->FinishSalvage(ticket);
  }
}

void EntryCore::On(const SealReplied& event) {
  const auto* reply = std::get_if<SealReply>(&event.reply);
  if (reply != nullptr && reply->agent == event.agent) {
    this->directory.RecordReport(event.agent, nullptr, this->now);
  }
  const auto found = this->salvages.find(event.ticket);
  if (found == this->salvages.end()) {
    return;
  }
  found->second.salvage.OnReply(event.agent, event.reply, this->now);
  this->FinishSalvage(event.ticket);
}

void EntryCore::FinishSalvage(const Ticket& salvaged_ticket) {
  const auto found = this->salvages.find(salvaged_ticket);
  if (found == this->salvages.end()) {
    return;
  }
  const auto answer = found->second.salvage.Conclude(this->now);
  if (!answer) {
    return;
  }
  const Ticket ticket = found->first;
  const SalvagedJob job = std::move(found->second);
  this->salvages.erase(found);
  this->salvage_answers.Keep(ticket, job.body_hash, *answer, this->now);
  this->CountAnswer(*answer);
  this->Log(1011, "salvage_ended",
            "ticket=" + ticket.Text() + " not_run=" + (answer->not_run ? "true" : "false") +
                " complete=" + (answer->status == AnswerStatus::kComplete ? "true" : "false"));
  for (const Waiter& waiter : job.waiters) {
    this->Deliver(waiter, *answer);
  }
}

}  // namespace quetzalvale
