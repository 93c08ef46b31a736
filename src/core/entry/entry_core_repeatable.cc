// Jobs that their callers name and may submit again.
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// Beyond this, jobs come too late however much room there is. It is half of the time after which
/// an agent refuses a start, because refused starts are sent again and make the entry slower still.
constexpr Milliseconds kLongestRoundTrip{125};

}  // namespace

void EntryCore::SubmitNamed(ServiceState& service, const Waiter& waiter,
                            const Submission& submission) {
  if (Job* job = this->jobs.FindNamed(service.name, submission.name)) {
    if (job->answered || job->failure) {
      this->Refuse(waiter,
                   {ErrorKind::kOverloaded,
                    "an earlier run of the job is being stopped; submit it again later", false},
                   std::nullopt);
    } else {
      this->Attach(*job, waiter, submission.body_hash);
    }
    return;
  }
  const auto* kept = this->named_answers.Find(service.name + "/" + submission.name);
  if (kept != nullptr && kept->body_hash == submission.body_hash) {
    this->Deliver(waiter, kept->answer);
    return;
  }
  // The ticket names the job towards the agents and is not told to the caller.
  const auto tickets = service.ledger.Issue(1, this->directory.RosterNumber(), this->now);
  if (tickets.empty()) {
    this->Refuse(waiter,
                 {ErrorKind::kOverloaded, "too many jobs were submitted; submit again later", true},
                 std::nullopt);
    return;
  }
  Submission owned = submission;
  owned.ticket = tickets.front();
  auto refusal = this->CheckOwnSpeed();
  if (!refusal) {
    refusal = this->CheckSubmission(service, owned);
  }
  if (refusal) {
    refusal->not_run = true;
    this->LogRejection(service, owned, *refusal);
    this->Refuse(waiter, *refusal, std::nullopt);
    return;
  }
  this->TakeJob(service, waiter, owned);
}

std::optional<EntryCore::Refusal> EntryCore::CheckOwnSpeed() const {
  const auto median = this->round_trips.Median(this->now);
  if (!median || *median < kLongestRoundTrip) {
    return std::nullopt;
  }
  return Refusal{ErrorKind::kOverloaded,
                 "starts take " +
                     std::to_string(std::chrono::duration_cast<Milliseconds>(*median).count()) +
                     " ms to be answered here; submit through another entry",
                 true};
}

void EntryCore::LogRejection(const ServiceState& service, const Submission& submission,
                             const Refusal& refusal) {
  const LoadView load = refusal.load ? *refusal.load : this->Load(service, submission);
  std::string line = "job=" + submission.name + " kind=" + submission.kind +
                     " error=" + ErrorKindText(refusal.kind) +
                     " tasks=" + std::to_string(submission.tasks.size()) +
                     " queued_tasks=" + std::to_string(load.queued_tasks) +
                     " configuration=" + std::to_string(service.configuration->version);
  if (load.target) {
    const auto whole = [](double value) { return std::to_string(std::llround(value)); };
    line += " target_ms=" + std::to_string(load.target->time.count() / 1000) +
            " longest_ms=" + std::to_string(load.target->longest.count() / 1000) +
            " free_runs=" + whole(load.target->room.free_runs) +
            " own_runs=" + whole(load.target->room.own_runs) +
            " queued_ms=" + std::to_string(load.target->room.queued_work.count() / 1000);
  }
  this->Log(1041, "job_rejected", std::move(line));
}

void EntryCore::On(const CallerGone& event) {
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
