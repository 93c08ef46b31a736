// Handling of job submissions, ticket requests, queries and cancellations.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Maximum number of tickets granted by one request.
constexpr std::uint32_t kMaxTicketsPerRequest = 1024;

/// Maximum number of concurrent key claims. Each waits for a write to the platform's table, which
/// sustains several hundred writes per second.
constexpr std::size_t kMaxKeyClaims = 2048;

/// Maximum number of requests waiting for one job. Any more are copies on which their caller has
/// given up.
constexpr std::size_t kMaxWaiters = 64;

/// Limit on jobs in progress, in addition to the configured limit of queued tasks.
constexpr std::size_t kMaxJobs = 50000;

constexpr const char* kResubmitWithFreshTicket = "submit again with a fresh ticket";

}  // namespace

void EntryCore::On(const JobSubmitted& event) {
  this->Submit({Waiter::Kind::kCaller, event.request, {}}, event.submission);
}

void EntryCore::Submit(const Waiter& waiter, const Submission& submission) {
  ServiceState* service = this->FindService(submission.service);
  const bool has_identity =
      submission.ticket || !submission.key.empty() || !submission.name.empty();
  // With a ticket or key, the job may run at another entry, which is not known here. A repeatable
  // job has neither; its caller keeps track of earlier attempts itself.
  const bool known_not_run = !submission.ticket && submission.key.empty();
  if (service == nullptr) {
    this->Refuse(waiter,
                 {ErrorKind::kUnknownService,
                  "service \"" + submission.service + "\" is not served here; check its name",
                  known_not_run},
                 submission.ticket);
    return;
  }
  if (!service->IsConfigured()) {
    this->Refuse(
        waiter,
        {ErrorKind::kNotReady,
         "this entry has no configuration of the service yet; submit again later", known_not_run},
        submission.ticket);
    return;
  }
  if (!has_identity) {
    this->Refuse(waiter,
                 {ErrorKind::kNoIdentity,
                  "the job has neither a ticket nor a key; submit it with one of them", true},
                 std::nullopt);
    return;
  }
  if (!submission.name.empty()) {
    this->SubmitRepeatable(*service, waiter, submission);
  } else if (!submission.ticket) {
    this->SubmitWithKey(*service, waiter, submission);
  } else if (submission.ticket->service != submission.service) {
    this->Refuse(waiter,
                 {ErrorKind::kUnknownTicket,
                  "the ticket belongs to another service; use a ticket of this service", false},
                 submission.ticket);
  } else if (submission.ticket->owner == this->self.incarnation) {
    this->SubmitWithOwnTicket(*service, waiter, submission);
  } else {
    this->SubmitWithForeignTicket(*service, waiter, submission);
  }
}

void EntryCore::SubmitWithKey(ServiceState& service, const Waiter& waiter,
                              const Submission& submission) {
  // Until the key is claimed, it is unknown whether a job ran under it in an earlier submission, so
  // no refusal before that claims that the job did not run.
  if (this->IsLeaving()) {
    this->Refuse(waiter,
                 {ErrorKind::kLeaving, "this entry is leaving; submit through another one", false},
                 std::nullopt);
    return;
  }
  const auto tickets = this->key_claims.size() < kMaxKeyClaims
                           ? service.ledger.Issue(1, this->directory.RosterNumber(), this->now)
                           : std::vector<Ticket>{};
  if (tickets.empty()) {
    this->Refuse(
        waiter,
        {ErrorKind::kOverloaded, "too many keys are being claimed; submit again later", false},
        std::nullopt);
    return;
  }
  this->key_claims[waiter.request] = submission;
  this->Emit(ClaimKey{waiter.request, submission.service, submission.key, submission.body_hash,
                      tickets.front()});
}

void EntryCore::On(const KeyClaimed& event) {
  auto node = this->key_claims.extract(event.request);
  if (node.empty()) {
    return;
  }
  Submission& submission = node.mapped();
  const Waiter waiter{Waiter::Kind::kCaller, event.request, {}};
  if (const auto* error = std::get_if<Error>(&event.ticket)) {
    this->Refuse(waiter,
                 {ErrorKind::kPlatformUnavailable,
                  "the key could not be claimed (" + error->message +
                      "); submit again later with the same key, or submit new work with a ticket",
                  false},
                 std::nullopt);
    return;
  }
  submission.ticket = std::get<Ticket>(event.ticket);
  this->Submit(waiter, submission);
}

bool EntryCore::AddWaiter(Job& job, const Waiter& waiter, std::uint64_t body_hash) {
  if (job.body_hash != body_hash) {
    this->Refuse(waiter,
                 {ErrorKind::kConflict,
                  "the ticket or key was used for a job with another body; use a fresh one", false},
                 job.ticket);
    return false;
  }
  // A submission that a peer forwards twice must not be answered twice.
  const bool known = std::ranges::any_of(job.waiters, [&](const Waiter& other) {
    return other.kind == waiter.kind && other.request == waiter.request &&
           other.peer.incarnation == waiter.peer.incarnation;
  });
  if (known) {
    return true;
  }
  if (job.waiters.size() >= kMaxWaiters) {
    this->Refuse(waiter,
                 {ErrorKind::kOverloaded,
                  "too many requests are waiting for this job; query its answer later", false},
                 job.ticket);
    return false;
  }
  job.waiters.push_back(waiter);
  return true;
}

void EntryCore::SubmitWithOwnTicket(ServiceState& service, const Waiter& waiter,
                                    const Submission& submission) {
  const Ticket& ticket = *submission.ticket;
  Job* job = this->jobs.Find(ticket);
  if (job != nullptr && !job->answered) {
    this->AddWaiter(*job, waiter, submission.body_hash);
    return;
  }
  switch (service.ledger.StateOf(ticket, this->now)) {
    case TicketState::kNeverIssued:
      this->Refuse(waiter,
                   {ErrorKind::kUnknownTicket,
                    "this entry never issued the ticket; use a ticket as it was granted", false},
                   ticket);
      return;
    case TicketState::kUnused:
      this->SubmitWithUnusedTicket(service, waiter, submission);
      return;
    case TicketState::kExpired:
      service.ledger.Refuse(ticket);
      this->Refuse(waiter,
                   {ErrorKind::kTicketExpired,
                    std::string("the ticket has expired; ") + kResubmitWithFreshTicket, true},
                   ticket);
      return;
    case TicketState::kRefused:
      this->Refuse(waiter,
                   {ErrorKind::kTicketExpired,
                    std::string("the ticket's job was refused before and nothing of it ran; ") +
                        kResubmitWithFreshTicket + " or another key",
                    true},
                   ticket);
      return;
    case TicketState::kUsed:
    case TicketState::kForgotten:
      this->AnswerFromLedger(service.ledger, waiter, ticket, &submission.body_hash);
      return;
  }
}

void EntryCore::AnswerFromLedger(const TicketLedger& ledger, const Waiter& waiter,
                                 const Ticket& ticket, const std::uint64_t* body_hash) {
  const auto* stored = ledger.FindAnswer(ticket.sequence);
  if (stored == nullptr) {
    this->Refuse(waiter,
                 {ErrorKind::kAnswerExpired,
                  "the ticket was used, or expired, so long ago that its answer is no longer kept; "
                  "check what the job did before submitting the work again",
                  false},
                 ticket);
    return;
  }
  if (body_hash != nullptr && stored->body_hash != *body_hash) {
    this->Refuse(waiter,
                 {ErrorKind::kConflict,
                  "the ticket or key was used for a job with another body; use a fresh one", false},
                 ticket);
    return;
  }
  this->Deliver(waiter, stored->answer);
}

void EntryCore::SubmitWithUnusedTicket(ServiceState& service, const Waiter& waiter,
                                       const Submission& submission) {
  if (auto refusal = this->CheckSubmission(service, submission)) {
    // A copy of the submission may still arrive through another entry. As the caller is told that
    // the job did not run, the ticket must not be accepted later.
    service.ledger.Refuse(*submission.ticket);
    refusal->not_run = true;
    this->Refuse(waiter, *refusal, submission.ticket);
    return;
  }
  this->AcceptJob(service, waiter, submission);
}

std::optional<EntryCore::Refusal> EntryCore::CheckSubmission(ServiceState& service,
                                                             const Submission& submission,
                                                             bool* renews_estimates) {
  if (this->IsLeaving()) {
    return Refusal{ErrorKind::kLeaving, "this entry is leaving; submit through another one"};
  }
  if (submission.received &&
      this->now >= *submission.received + EffectiveDeadline(service, submission)) {
    return Refusal{ErrorKind::kDeadlineUnreachable,
                   "the job's deadline passed before the entry could process it; submit it again"};
  }
  const LoadView load = this->ComputeLoad(service, submission);
  const bool any_agent = std::ranges::any_of(this->directory.Agents(), [&](const auto& element) {
    const Agent& agent = element.second;
    return agent.member && !agent.leaving && agent.announce.service == service.name &&
           agent.first_roster > submission.ticket->roster;
  });
  if (!load.has_agents && any_agent) {
    return Refusal{ErrorKind::kTicketExpired,
                   std::string("none of the agents known when the ticket was issued is left; ") +
                       kResubmitWithFreshTicket};
  }
  if (auto error = CheckAdmission(*service.configuration, service.model, load, submission)) {
    const bool by_estimates = load.target && error->kind == ErrorKind::kDeadlineUnreachable;
    if (renews_estimates == nullptr || !by_estimates ||
        !service.renewal.MayAccept(submission.kind, this->now)) {
      return Refusal{error->kind, error->message, false, load};
    }
    *renews_estimates = true;
  }
  std::size_t bytes = this->jobs.PayloadBytes() + submission.payload_tail.size();
  for (const TaskSpec& task : submission.tasks) {
    bytes += task.payload.size();
  }
  if (this->jobs.Size() >= kMaxJobs || bytes > this->limits.payload_bytes) {
    return Refusal{ErrorKind::kOverloaded, "too many jobs are in progress; submit again later"};
  }
  if (auto refusal = this->CheckOverload(service, submission, load)) {
    return refusal;
  }
  // Teams that are not configured have no quota state: callers could invent any number of names.
  const auto count = static_cast<std::uint32_t>(submission.tasks.size());
  if (service.configuration->FindTeam(submission.team) != nullptr &&
      !service.quotas.TryTake(submission.team, count, this->now)) {
    return Refusal{ErrorKind::kQuota,
                   "team \"" + submission.team + "\" is over its quota; submit again later"};
  }
  return std::nullopt;
}

void EntryCore::AcceptJob(ServiceState& service, const Waiter& waiter, const Submission& submission,
                          bool renews_estimates) {
  service.ledger.MarkUsed(*submission.ticket, this->now);
  Job fresh;
  fresh.ticket = *submission.ticket;
  fresh.name = submission.name;
  fresh.body_hash = submission.body_hash;
  fresh.kind = submission.kind;
  const auto* kind = service.configuration->FindKind(submission.kind);
  fresh.urgency = kind->urgency;
  fresh.attempts = kind->attempts;
  fresh.data_rack = submission.data_rack;
  fresh.payload_tail = submission.payload_tail;
  fresh.team = service.AccountingTeam(submission.team);
  fresh.submitted = std::min(this->now, submission.received.value_or(this->now));
  fresh.deadline = fresh.submitted + EffectiveDeadline(service, submission);
  if (fresh.IsRepeatable() && kind->target_stretch > 0) {
    fresh.target =
        TargetOf(*kind, LongestExpectedRun(service, submission), fresh.submitted, fresh.deadline);
  }
  if (renews_estimates) {
    fresh.renewal_on_time = fresh.target->on_time;
    fresh.target.reset();
    service.renewal.Accepted(fresh.kind, this->now);
    this->Log(1044, "estimates_renewed", "job=" + fresh.name + " kind=" + fresh.kind);
  }
  for (const TaskSpec& spec : submission.tasks) {
    Task task;
    task.spec = spec;
    task.expected = service.model.Expected(submission.kind, spec.declared_run_time);
    service.arrivals.Add(fresh.urgency, task.expected, this->now);
    service.team_arrivals[fresh.team].Add(0, task.expected, this->now);
    fresh.tasks.push_back(std::move(task));
  }
  if (fresh.target && IsSelecting(service, submission)) {
    this->ClassifyJob(service, fresh);
  }
  Job& job = this->jobs.Add(std::move(fresh));
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    QueueTask(service, job, index);
  }
  this->AddWaiter(job, waiter, submission.body_hash);
}

void EntryCore::On(const TicketsRequested& event) {
  ServiceState* service = this->FindService(event.service);
  if (service == nullptr) {
    this->Emit(GrantTickets{event.request, Error{ErrorKind::kUnknownService,
                                                 "service \"" + event.service +
                                                     "\" is not served here; check its name"}});
    return;
  }
  if (!service->IsConfigured()) {
    this->Emit(
        GrantTickets{event.request,
                     Error{ErrorKind::kNotReady,
                           "this entry has no configuration of the service yet; ask again later"}});
    return;
  }
  if (this->IsLeaving()) {
    this->Emit(GrantTickets{event.request,
                            Error{ErrorKind::kLeaving, "this entry is leaving; ask another one"}});
    return;
  }
  this->Emit(GrantTickets{event.request,
                          service->ledger.Issue(std::min(event.count, kMaxTicketsPerRequest),
                                                this->directory.RosterNumber(), this->now)});
}

Result<std::optional<Answer>> EntryCore::LookUpAnswer(const Ticket& ticket) {
  ServiceState* service = this->FindService(ticket.service);
  if (service == nullptr) {
    return Error{ErrorKind::kUnknownService, "the ticket's service is not served here"};
  }
  const Job* job = this->jobs.Find(ticket);
  if (job != nullptr && !job->answered) {
    return std::optional<Answer>();
  }
  if (const auto* stored = this->salvage_answers.Find(ticket)) {
    return std::optional<Answer>(stored->answer);
  }
  const AdoptedLedger* adopted_ledger = this->FindAdopted(ticket);
  const bool own = ticket.owner == this->self.incarnation;
  if (!own && adopted_ledger == nullptr) {
    const bool waits = this->salvages.contains(ticket);
    if (waits || this->forwards.Contains(ticket)) {
      return std::optional<Answer>();
    }
    return Error{ErrorKind::kNotFound,
                 "another entry holds the job; submit it again with the same ticket to get its "
                 "answer"};
  }
  const TicketLedger& ledger = own ? service->ledger : adopted_ledger->ledger;
  const TicketState state = ledger.StateOf(ticket, this->now);
  if (state == TicketState::kNeverIssued) {
    return Error{ErrorKind::kUnknownTicket, "the ticket was never issued; use it as granted"};
  }
  if (state == TicketState::kUnused) {
    return Error{ErrorKind::kNotFound, "no job was submitted with the ticket"};
  }
  if (state == TicketState::kExpired || state == TicketState::kRefused) {
    return Error{ErrorKind::kTicketExpired,
                 "the ticket has expired or its job was refused; nothing of it ran"};
  }
  if (const auto* stored = ledger.FindAnswer(ticket.sequence)) {
    return std::optional<Answer>(stored->answer);
  }
  return Error{ErrorKind::kAnswerExpired, "the job's answer is no longer kept"};
}

void EntryCore::On(const JobQueried& event) {
  this->Emit(AnswerQuery{event.request, this->LookUpAnswer(event.ticket)});
}

void EntryCore::On(const JobCancelled& event) {
  const Ticket& ticket = event.ticket;
  Job* job = this->jobs.Find(ticket);
  if (job != nullptr && !job->answered) {
    const std::uint64_t id = job->id;
    if (job->waiters.size() < kMaxWaiters) {
      job->waiters.push_back({Waiter::Kind::kQuery, event.request, {}});
    } else {
      this->Emit(AnswerQuery{event.request, std::optional<Answer>()});
    }
    this->FailJob(*this->jobs.Find(id), "cancelled", "the job was cancelled", true);
    return;
  }
  ServiceState* service = this->FindService(ticket.service);
  const bool own = service != nullptr && ticket.owner == this->self.incarnation;
  if (own && service->ledger.StateOf(ticket, this->now) == TicketState::kUnused) {
    // The submission may still arrive after its cancellation.
    service->ledger.Refuse(ticket);
  }
  const Peer* owner = this->peers.Find(ticket.owner);
  if (!own && owner != nullptr && !owner->gone && this->FindAdopted(ticket) == nullptr &&
      this->salvage_answers.Find(ticket) == nullptr) {
    this->Emit(SendCancel{owner->info.address, {ticket}});
    this->Emit(AnswerQuery{event.request, std::optional<Answer>()});
    return;
  }
  this->Emit(AnswerQuery{event.request, this->LookUpAnswer(ticket)});
}

}  // namespace quetzalvale
