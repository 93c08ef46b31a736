// Completion of tasks and answers to jobs.
#include <algorithm>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {
namespace {

/// How long the answer of a failed job is delayed to obtain proof that none of its tasks ran.
constexpr Milliseconds kNotRunProofTimeout{500};

/// The same for a repeatable job: several round trips to an agent. Its caller may submit the job
/// again right after "not run", but only 1,300 ms after an answer that leaves it open, and a caller
/// of work that must not be repeated never.
constexpr Milliseconds kRepeatableProofTimeout{50};

/// Returns the task that ended last, or nullptr if none has ended.
const Task* LastEnded(const Job& job) {
  const auto last = std::ranges::max_element(job.tasks, {}, &Task::ended_at);
  return last == job.tasks.end() || last->ended_at == Time{} ? nullptr : &*last;
}

const char* StatusText(AnswerStatus status) {
  switch (status) {
    case AnswerStatus::kComplete:
      return "complete";
    case AnswerStatus::kFailed:
      return "failed";
    case AnswerStatus::kRefused:
      break;
  }
  return "refused";
}

}  // namespace

void EntryCore::CountAnswer(const Answer& answer) {
  switch (answer.status) {
    case AnswerStatus::kComplete:
      ++this->counters.jobs_complete;
      break;
    case AnswerStatus::kFailed:
      ++this->counters.jobs_failed[answer.reason];
      break;
    case AnswerStatus::kRefused:
      ++this->counters.jobs_refused[answer.error];
      break;
  }
}

void EntryCore::Deliver(const Waiter& waiter, Answer answer) {
  switch (waiter.kind) {
    case Waiter::Kind::kPeer:
      this->outbox.Add(waiter.peer, waiter.request, std::move(answer), this->now);
      this->SendAnswers();
      return;
    case Waiter::Kind::kQuery:
      this->Emit(AnswerQuery{waiter.request, std::optional<Answer>(std::move(answer))});
      return;
    case Waiter::Kind::kCaller:
      break;
  }
  answer.fresh_tickets.clear();
  ServiceState* service = answer.ticket ? this->FindService(answer.ticket->service) : nullptr;
  if (service != nullptr && service->IsConfigured() && !this->IsLeaving()) {
    answer.fresh_tickets = service->ledger.Issue(1, this->directory.RosterNumber(), this->now);
  }
  this->Emit(AnswerCaller{waiter.request, std::move(answer)});
}

void EntryCore::Refuse(const Waiter& waiter, const Refusal& refusal,
                       const std::optional<Ticket>& ticket) {
  Answer answer;
  answer.status = AnswerStatus::kRefused;
  answer.ticket = ticket;
  answer.error = refusal.kind;
  answer.message = refusal.message;
  answer.not_run = refusal.not_run;
  this->CountAnswer(answer);
  this->Deliver(waiter, std::move(answer));
}

void EntryCore::FailJob(Job& job, std::string reason, std::string message, bool stop_requested) {
  // The caller of a repeatable job submits it again soon after the answer, so whatever the reason,
  // none of its runs may go on.
  const bool stop_running = stop_requested || job.IsRepeatable();
  if (job.answered && !stop_running) {
    this->EraseIfEnded(job.id);
    return;
  }
  if (!job.failure && !job.answered) {
    const Time proof_deadline = job.IsRepeatable()
                                    ? std::min(this->now + kRepeatableProofTimeout, job.deadline)
                                    : this->now + kNotRunProofTimeout;
    job.failure = Job::Failure{std::move(reason), std::move(message), proof_deadline};
    this->jobs.SetDue(job, job.failure->proof_deadline);
  }
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    const Task& task = job.tasks[index];
    if (task.state == JobTaskState::kWaiting || task.state == JobTaskState::kBatched) {
      this->DropTask(job, index);
    } else if (task.state == JobTaskState::kSent && (stop_running || !task.runs)) {
      this->Withdraw({job.id, index}, stop_running);
    }
  }
  this->TryAnswer(job);
}

void EntryCore::DropTask(Job& job, std::uint32_t index) {
  const TaskRef ref{job.id, index};
  if (job.tasks[index].state == JobTaskState::kWaiting) {
    this->FindService(job.ticket.service)->queue.Remove(ref);
  }
  this->EndTask(job, index, JobTaskState::kNotRun);
}

void EntryCore::EndTask(Job& job, std::uint32_t index, JobTaskState state) {
  Task& task = job.tasks[index];
  const TaskRef ref{job.id, index};
  if (Agent* agent = this->directory.Find(task.agent)) {
    agent->outstanding.erase(ref);
    agent->withdrawals.Remove(ref);
    if (task.state == JobTaskState::kBatched) {
      agent->unreported.Remove(DeclaredBy(task.spec), task.joins_queue);
    }
  }
  if (task.state == JobTaskState::kBatched) {
    this->batcher.Remove(task.agent, ref);
  }
  task.state = state;
  task.spec.payload = std::string();
  --job.open;
  if (state == JobTaskState::kDone) {
    ++job.done;
  }
}

void EntryCore::TryAnswer(Job& job) {
  if (job.answered) {
    this->EraseIfEnded(job.id);
    return;
  }
  Answer answer;
  if (!job.IsRepeatable()) {
    answer.ticket = job.ticket;
  }
  if (!job.failure) {
    if (!this->guards.all_outcomes(job.done, job.tasks.size())) {
      return;
    }
    answer.status = AnswerStatus::kComplete;
    for (Task& task : job.tasks) {
      if (task.state == JobTaskState::kDone) {
        answer.results.push_back(std::move(task.result));
      }
    }
    this->AnswerJob(job, std::move(answer));
    return;
  }
  const auto ran = [](const Task& task) {
    return task.runs || task.ran_before || task.state == JobTaskState::kDone ||
           task.state == JobTaskState::kFailed || task.state == JobTaskState::kUnknown;
  };
  const bool any_ran = std::ranges::any_of(job.tasks, ran);
  if (!any_ran && job.open > 0 && this->now < job.failure->proof_deadline) {
    return;
  }
  answer.status = AnswerStatus::kFailed;
  answer.reason = job.failure->reason;
  answer.message = job.failure->message;
  answer.not_run = !any_ran && job.open == 0;
  if (answer.not_run && answer.reason == "no_agents") {
    answer.status = AnswerStatus::kRefused;
    answer.error = ErrorKind::kTicketExpired;
    answer.reason.clear();
  }
  if (answer.not_run && answer.reason == kTurnedAway) {
    answer.status = AnswerStatus::kRefused;
    answer.error = ErrorKind::kOverloaded;
    answer.reason.clear();
  }
  this->AnswerJob(job, std::move(answer));
}

void EntryCore::LogAnswer(const Job& job, const Answer& answer, const Task* last) {
  const auto millis = [](Time::duration time) {
    return std::to_string(std::chrono::duration_cast<Milliseconds>(time).count());
  };
  std::uint32_t refusals = 0;
  std::uint32_t failures = 0;
  for (const Task& task : job.tasks) {
    refusals += task.refusals;
    failures += task.failures;
  }
  std::string line = "job=" + (job.IsRepeatable() ? job.name : job.ticket.Text()) +
                     " kind=" + job.kind + " status=" + StatusText(answer.status) +
                     " reason=" + (answer.reason.empty() ? "none" : answer.reason) +
                     " tasks=" + std::to_string(job.tasks.size()) +
                     " total_ms=" + millis(this->now - job.submitted) +
                     " deadline_left_ms=" + millis(job.deadline - this->now) +
                     " refused_starts=" + std::to_string(refusals) +
                     " failed_runs=" + std::to_string(failures);
  if (!job.data_rack.empty()) {
    line += " data_rack=" + job.data_rack +
            " remote_last=" + (last != nullptr && last->run_factor > 1 ? "true" : "false");
  }
  if (last != nullptr) {
    const Agent* agent = this->directory.Find(last->agent);
    line += " last_task=" + std::to_string(last - job.tasks.data()) +
            " agent=" + (agent == nullptr ? "gone" : agent->announce.name) +
            " waited_ms=" + millis(last->sent_at - job.submitted) +
            " away_ms=" + millis(last->ended_at - last->sent_at) +
            " run_ms=" + millis(last->run_time) + " expected_ms=" + millis(last->expected);
  }
  const auto open = std::ranges::find_if(job.tasks, [](const Task& task) {
    return task.state == JobTaskState::kSent || task.state == JobTaskState::kWaiting;
  });
  if (open != job.tasks.end()) {
    const Agent* agent = this->directory.Find(open->agent);
    line += " open_task=" + std::to_string(open - job.tasks.begin()) +
            " open_at=" + (agent == nullptr ? "entry" : agent->announce.name) + " open_waited_ms=" +
            millis(open->sent_at == Time{} ? Time::duration{} : open->sent_at - job.submitted) +
            " open_expected_ms=" + millis(open->expected);
  }
  this->Log(1040, "job_answered", std::move(line));
}

void EntryCore::ReportMetrics(const Job& job, const Answer& answer, const Task* last) {
  ReportJob report{job.kind, answer.status, this->now - job.submitted};
  if (last != nullptr) {
    report.last_task = {last->sent_at - job.submitted, last->ended_at - last->sent_at,
                        last->run_time};
  }
  this->Emit(std::move(report));
}

void EntryCore::AnswerJob(Job& job, Answer answer) {
  this->CountAnswer(answer);
  const Task* last = LastEnded(job);
  this->ReportMetrics(job, answer, last);
  this->LogAnswer(job, answer, last);
  ServiceState& service = *this->FindService(job.ticket.service);
  if (!job.IsRepeatable()) {
    service.ledger.KeepAnswer(job.ticket.sequence, job.body_hash, answer, this->now);
  } else if (answer.status == AnswerStatus::kComplete || answer.reason == "task_failed") {
    this->repeatable_answers.Keep(job.name, job.body_hash, answer, this->now);
  }
  if (job.renewal_on_time) {
    service.renewal.Answered(
        job.kind, answer.status == AnswerStatus::kComplete && this->now <= *job.renewal_on_time);
  }
  const std::vector<Waiter> waiters = std::move(job.waiters);
  const std::uint64_t id = job.id;
  this->jobs.MarkAnswered(job);
  for (const Waiter& waiter : waiters) {
    this->Deliver(waiter, answer);
  }
  this->EraseIfEnded(id);
}

void EntryCore::EraseIfEnded(std::uint64_t id) {
  const Job* job = this->jobs.Find(id);
  if (job != nullptr && job->answered && job->open == 0) {
    this->jobs.Remove(id);
  }
}

void EntryCore::OnJobDue(std::uint64_t id) {
  Job* job = this->jobs.Find(id);
  if (job == nullptr) {
    return;
  }
  if (job->failure) {
    this->TryAnswer(*job);
    return;
  }
  this->FailJob(*job, "deadline",
                "the job's deadline passed before all tasks ended; submit new work with a longer "
                "deadline or later",
                false);
}

bool EntryCore::MayUse(const Job& job, const Agent& agent) {
  return job.IsRepeatable() || agent.first_roster <= job.ticket.roster;
}

bool EntryCore::HasPossibleAgent(const Job& job) const {
  return std::ranges::any_of(this->directory.Agents(), [&](const auto& element) {
    const Agent& agent = element.second;
    return this->TakesStarts(agent) && agent.announce.service == job.ticket.service &&
           MayUse(job, agent) &&
           std::ranges::find(job.excluded_agents, element.first) == job.excluded_agents.end();
  });
}

void EntryCore::FailJobsWithoutAgents(ServiceState& service) {
  for (const std::uint64_t id : this->jobs.UnansweredIds(service.name)) {
    Job& job = *this->jobs.Find(id);
    const bool waits = std::ranges::any_of(
        job.tasks, [](const Task& task) { return task.state == JobTaskState::kWaiting; });
    if (!job.failure && waits && !this->HasPossibleAgent(job)) {
      this->FailJob(job, "no_agents",
                    "no agent that the ticket may use is left; submit again with a fresh ticket",
                    false);
    }
  }
}

}  // namespace quetzalvale
