#include "core/entry/salvage.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

constexpr Milliseconds kFirstBackoff{100};
constexpr Milliseconds kLongestBackoff{1000};

/// Tasks take up to about a second; a few polls per task are enough.
constexpr Milliseconds kRunningPoll{300};

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
  for (auto& [agent, asked] : this->agents) {
    const bool open = asked.state == State::kPending || asked.state == State::kRunning;
    if (open && !asked.in_flight && asked.next <= now) {
      asked.in_flight = true;
      due.push_back(asked.target);
    }
  }
  return due;
}

void Salvage::OnReply(const Incarnation& agent, const Result<SealReply>& reply, Time now) {
  const auto found = this->agents.find(agent);
  if (found == this->agents.end()) {
    return;
  }
  Asked& asked = found->second;
  asked.in_flight = false;
  const auto* seal = std::get_if<SealReply>(&reply);
  if (seal == nullptr && asked.target.presumed_lost) {
    this->OnAgentLost(agent);
    return;
  }
  if (seal == nullptr) {
    asked.backoff = std::clamp(asked.backoff * 2, kFirstBackoff, kLongestBackoff);
    asked.next = now + asked.backoff;
    return;
  }
  if (seal->agent != agent) {
    asked.state = State::kLost;
    return;
  }
  this->Read(*seal, asked, now);
}

void Salvage::Read(const SealReply& reply, Asked& asked, Time now) {
  if (asked.state == State::kLost) {
    return;
  }
  this->maybe_started = this->maybe_started || reply.maybe_started;
  bool running = false;
  for (const TaskReport& report : reply.reports) {
    if (report.task.ticket != this->ticket || report.status == TaskStatus::kNotRun) {
      continue;
    }
    // What has run is no proof of "not run" any more, even if the record is gone at the next poll.
    this->maybe_started = true;
    if (report.status == TaskStatus::kRunning) {
      running = true;
    } else if (report.outcome) {
      this->outcomes.try_emplace(report.task.index, *report.outcome);
    }
  }
  asked.state = running ? State::kRunning : State::kSealed;
  asked.backoff = Milliseconds{0};
  asked.next = now + kRunningPoll;
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
      return this->Unknown();
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

Answer Salvage::Unknown() const {
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
  for (const auto& [agent, asked] : this->agents) {
    const bool pending = asked.state == State::kPending;
    const bool running = asked.state == State::kRunning;
    if ((pending && now < this->limits.missing_after) || (running && now < this->limits.deadline)) {
      return std::nullopt;
    }
    lost = lost || asked.state != State::kSealed;
  }
  if (!this->complete || this->maybe_started || lost) {
    return this->Unknown();
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
