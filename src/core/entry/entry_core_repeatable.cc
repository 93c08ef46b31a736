// Repeatable jobs: identified by a name from the caller, and safe to submit and run again.
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// With a median round trip of starts beyond this, the entry refuses jobs, because it would answer
/// them too late even if agents have free capacity. Half of the time after which an agent refuses a
/// start, because refused starts are sent again and slow the entry down further.
constexpr Milliseconds kMaxRoundTrip{125};

Answer CancelledAnswer() {
  Answer answer;
  answer.status = AnswerStatus::kFailed;
  answer.reason = kCancelledByRequest;
  answer.message = "the job was cancelled";
  return answer;
}

}  // namespace

void EntryCore::SubmitRepeatable(ServiceState& service, const Waiter& waiter,
                                 const Submission& submission) {
  const bool cancelled = this->cancellations.Contains(submission.name);
  Job* job = this->jobs.FindNamed(submission.name);
  if (job != nullptr && !cancelled) {
    if (job->answered || job->failure) {
      this->Refuse(waiter,
                   {ErrorKind::kOverloaded,
                    "an earlier run of the job is being stopped; submit it again later", false},
                   std::nullopt);
    } else {
      this->AddWaiter(*job, waiter, submission.body_hash);
    }
    return;
  }
  const auto* stored = this->repeatable_answers.Find(submission.name);
  if (stored != nullptr && stored->body_hash == submission.body_hash) {
    this->Deliver(waiter, stored->answer);
    return;
  }
  if (cancelled) {
    this->Deliver(waiter, CancelledAnswer());
    return;
  }
  // The ticket identifies the job to the agents. The caller never sees it.
  const auto tickets = service.ledger.Issue(1, this->directory.RosterNumber(), this->now);
  if (tickets.empty()) {
    this->Refuse(waiter,
                 {ErrorKind::kOverloaded, "too many jobs were submitted; submit again later", true},
                 std::nullopt);
    return;
  }
  Submission owned = submission;
  owned.ticket = tickets.front();
  bool renews_estimates = false;
  auto refusal = this->CheckRoundTripTime();
  if (!refusal) {
    refusal = this->CheckSubmission(service, owned, &renews_estimates);
  }
  if (refusal) {
    refusal->not_run = true;
    this->LogRejection(service, owned, *refusal);
    this->Refuse(waiter, *refusal, std::nullopt);
    return;
  }
  this->AcceptJob(service, waiter, owned, renews_estimates);
}

std::optional<EntryCore::Refusal> EntryCore::CheckRoundTripTime() const {
  const auto median = this->round_trips.Median(this->now);
  if (!median || *median < kMaxRoundTrip) {
    return std::nullopt;
  }
  return Refusal{ErrorKind::kOverloaded,
                 "agents take " +
                     std::to_string(std::chrono::duration_cast<Milliseconds>(*median).count()) +
                     " ms to answer starts of this entry; submit through another entry",
                 true};
}

void EntryCore::LogRejection(const ServiceState& service, const Submission& submission,
                             const Refusal& refusal) {
  const LoadView load = refusal.load ? *refusal.load : this->ComputeLoad(service, submission);
  std::string line = "job=" + submission.name + " kind=" + submission.kind +
                     " error=" + ErrorKindText(refusal.kind) +
                     " tasks=" + std::to_string(submission.tasks.size()) +
                     " queued_tasks=" + std::to_string(load.queued_tasks) +
                     " configuration=" + std::to_string(service.configuration->version);
  if (load.target) {
    const auto whole = [](double value) { return std::to_string(std::llround(value)); };
    line += " target_ms=" + std::to_string(load.target->time.count() / 1000) +
            " longest_ms=" + std::to_string(load.target->longest.count() / 1000) +
            " free_runs=" + whole(load.target->capacity.free_runs) +
            " own_runs=" + whole(load.target->capacity.own_runs) +
            " queued_ms=" + std::to_string(load.target->capacity.queued_work.count() / 1000);
  }
  if (!refusal.overload_inputs.empty()) {
    line += " " + refusal.overload_inputs;
  }
  this->Log(1041, "job_rejected", std::move(line));
}

void EntryCore::On(const NamedJobCancelled& event) {
  const Waiter waiter{Waiter::Kind::kCaller, event.request, {}};
  // Also if the job is not here: it may be at another entry, and a copy of its submission may still
  // arrive at any.
  this->cancellations.Add(event.name, true, this->now);
  Job* job = this->jobs.FindNamed(event.name);
  this->Log(1045, "job_cancelled",
            "job=" + event.name + " found=" + (job != nullptr ? "true" : "false"));
  if (job == nullptr) {
    Answer answer;
    answer.status = AnswerStatus::kRefused;
    answer.error = ErrorKind::kNotFound;
    answer.message = "no such job is in progress at this entry";
    this->Deliver(waiter, std::move(answer));
    return;
  }
  this->FailJob(*job, kCancelledByRequest, CancelledAnswer().message, true);
  this->Deliver(waiter, CancelledAnswer());
}

void EntryCore::On(const CancellationsReceived& event) {
  for (const std::string& name : event.message.names) {
    if (this->cancellations.Contains(name)) {
      continue;
    }
    this->cancellations.Add(name, false, this->now);
    if (Job* job = this->jobs.FindNamed(name)) {
      this->Log(1045, "job_cancelled",
                "job=" + name + " found=true told_by=" + event.message.from.Text());
      this->FailJob(*job, kCancelledByRequest, CancelledAnswer().message, true);
    }
  }
  this->Emit(ReplyAcknowledgement{event.request, {this->self.incarnation, true}});
}

void EntryCore::On(const CancellationsReplied& event) {
  const auto* reply = std::get_if<Acknowledgement>(&event.reply);
  // Another process that has the peer's address now is told for itself.
  const bool confirmed = reply != nullptr && reply->accepted && reply->from == event.to;
  this->cancellations.OnReplied(event.to, event.last, confirmed);
}

void EntryCore::TellCancellations() {
  if (!this->cancellations.HasOwn()) {
    return;
  }
  for (const auto& [incarnation, peer] : this->peers.Peers()) {
    if (peer.gone) {
      this->cancellations.ForgetPeer(incarnation);
    } else if (auto batch = this->cancellations.TakeDue(incarnation, this->now)) {
      this->Emit(SendCancellations{peer.info.address,
                                   incarnation,
                                   batch->last,
                                   {this->self.incarnation, std::move(batch->names)}});
    }
  }
}

void EntryCore::On(const CallerDisconnected& event) {
  this->Log(1042, "caller_gone", "request=" + std::to_string(event.request));
  Job* job = this->jobs.FindByRequest(event.request);
  if (job == nullptr) {
    return;
  }
  std::erase_if(job->waiters, [&](const Waiter& waiter) {
    return waiter.kind == Waiter::Kind::kCaller && waiter.request == event.request;
  });
  if (job->waiters.empty()) {
    this->FailJob(*job, "cancelled", "the caller closed its connection", true);
  }
}

}  // namespace quetzalvale
