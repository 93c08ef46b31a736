#include "core/entry/salvage.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

constexpr Milliseconds kMinBackoff{100};
constexpr Milliseconds kMaxBackoff{1000};

/// Tasks take up to about a second, so a few polls per task are enough.
constexpr Milliseconds kRunningPollInterval{300};

}  // namespace

Salvage::Salvage(Ticket ticket, std::size_t task_count, std::vector<Target> targets, bool complete,
                 Limits limits)
    : ticket(std::move(ticket)), task_count(task_count), complete(complete), limits(limits) {
  for (Target& target : targets) {
    const Incarnation agent = target.agent;
    this->agents.try_emplace(agent).first->second.target = std::move(target);
  }
}

std::vector<Salvage::Target> Salvage::TakeDue(Time now) {
  std::vector<Target> due;
  for (auto& [agent, progress] : this->agents) {
    const bool open = progress.state == State::kPending || progress.state == State::kRunning;
    if (open && !progress.in_flight && progress.next <= now) {
      progress.in_flight = true;
      due.push_back(progress.target);
    }
  }
  return due;
}

void Salvage::OnReply(const Incarnation& agent, const Result<SealReply>& reply, Time now) {
  const auto found = this->agents.find(agent);
  if (found == this->agents.end()) {
    return;
  }
  SealProgress& progress = found->second;
  progress.in_flight = false;
  const auto* seal = std::get_if<SealReply>(&reply);
  if (seal == nullptr && progress.target.presumed_lost) {
    this->OnAgentLost(agent);
    return;
  }
  if (seal == nullptr) {
    progress.backoff = std::clamp(progress.backoff * 2, kMinBackoff, kMaxBackoff);
    progress.next = now + progress.backoff;
    return;
  }
  if (seal->agent != agent) {
    progress.state = State::kLost;
    return;
  }
  this->ApplyReply(*seal, progress, now);
}

void Salvage::ApplyReply(const SealReply& reply, SealProgress& progress, Time now) {
  if (progress.state == State::kLost) {
    return;
  }
  this->maybe_started = this->maybe_started || reply.maybe_started;
  bool running = false;
  for (const TaskReport& report : reply.reports) {
    if (report.task.ticket != this->ticket || report.status == TaskStatus::kNotRun) {
      continue;
    }
    // A task that has run rules out "not run", even if its record has expired by the next poll.
    this->maybe_started = true;
    if (report.status == TaskStatus::kRunning) {
      running = true;
    } else if (report.outcome) {
      this->outcomes.try_emplace(report.task.index, *report.outcome);
    }
  }
  progress.state = running ? State::kRunning : State::kSealed;
  progress.backoff = Milliseconds{0};
  progress.next = now + kRunningPollInterval;
}

void Salvage::OnAgentLost(const Incarnation& agent) {
  const auto found = this->agents.find(agent);
  if (found != this->agents.end() && found->second.state != State::kSealed) {
    found->second.state = State::kLost;
  }
}

std::optional<Answer> Salvage::ConcludeFromOutcomes() const {
  Answer answer;
  answer.ticket = this->ticket;
  for (const auto& [index, outcome] : this->outcomes) {
    if (!outcome.ok && outcome.reason == "outcome_unknown") {
      return this->OutcomeUnknown();
    }
    if (!outcome.ok) {
      answer.status = AnswerStatus::kFailed;
      answer.reason = "task_failed";
      answer.message = "task " + std::to_string(index) + " failed: " + outcome.reason;
      return answer;
    }
  }
  if (this->outcomes.size() != this->task_count ||
      (!this->outcomes.empty() && this->outcomes.rbegin()->first >= this->task_count)) {
    return std::nullopt;
  }
  answer.status = AnswerStatus::kComplete;
  for (const auto& [index, outcome] : this->outcomes) {
    answer.results.push_back(outcome.result);
  }
  return answer;
}

Answer Salvage::OutcomeUnknown() const {
  Answer answer;
  answer.ticket = this->ticket;
  answer.status = AnswerStatus::kFailed;
  answer.reason = "outcome_unknown";
  answer.message =
      "the entry that took the job is gone and not every task's outcome could be found; check what "
      "the tasks did before submitting the work again under a new ticket";
  return answer;
}

std::optional<Answer> Salvage::Conclude(Time now) const {
  if (auto answer = this->ConcludeFromOutcomes()) {
    return answer;
  }
  bool lost = false;
  for (const auto& [agent, progress] : this->agents) {
    const bool pending = progress.state == State::kPending;
    const bool running = progress.state == State::kRunning;
    if ((pending && now < this->limits.reply_deadline) ||
        (running && now < this->limits.deadline)) {
      return std::nullopt;
    }
    lost = lost || progress.state != State::kSealed;
  }
  if (!this->complete || this->maybe_started || lost) {
    return this->OutcomeUnknown();
  }
  Answer answer;
  answer.ticket = this->ticket;
  answer.status = AnswerStatus::kRefused;
  answer.error = ErrorKind::kTicketExpired;
  answer.message =
      "the entry that issued the ticket is gone and nothing of the job ran; submit "
      "again with a fresh ticket";
  answer.not_run = true;
  return answer;
}

}  // namespace quetzalvale
