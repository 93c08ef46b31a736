#include "load/load_runner.h"

#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalvale {
namespace {

/// Tickets asked for at once, and the stock below which more are asked for. Answers bring fresh
/// ones, so the stock only falls when many jobs are in progress.
constexpr int kTicketsPerRefill = 256;
constexpr std::size_t kLowTickets = 64;

/// Pause before tickets are asked for again after a failed call.
constexpr double kRefillPauseMs = 100;

/// Room for replies beside one per job and resubmission: tickets, controls and cancellations.
constexpr std::size_t kSpareReplies = 4096;

void IgnoreReply(const LoadReply& /*reply*/, std::chrono::steady_clock::time_point /*received*/) {}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

LoadRunner::LoadRunner(const Workload& workload, const std::vector<PlannedJob>& jobs,
                       LoadTargets targets, LoadSendHook send, const Clock& clock,
                       std::function<void(const std::string&)> progress)
    : workload(workload),
      jobs(jobs),
      targets(std::move(targets)),
      send(std::move(send)),
      clock(clock),
      progress(std::move(progress)),
      replies(jobs.size() * (2 + workload.resubmissions) + kSpareReplies),
      tickets(this->targets.entries.size()),
      waiting(this->targets.entries.size()),
      refilling(this->targets.entries.size(), false),
      records(jobs.size()) {}

std::string LoadRunner::Echo(const Workload& workload, std::size_t job, std::size_t task) {
  return workload.name + "/" + std::to_string(workload.seed) + "/" + std::to_string(job) + "/" +
         std::to_string(task);
}

std::vector<JobRecord> LoadRunner::Run() {
  this->start = this->clock.Now();
  this->SetSpeeds();
  for (std::size_t entry = 0; entry < this->targets.entries.size(); ++entry) {
    this->RefillTickets(entry);
  }
  this->RunUntil([this] { return this->calls_open == 0; });
  this->timeline.clear();
  this->start = this->clock.Now();
  for (std::size_t job = 0; job < this->jobs.size(); ++job) {
    this->Schedule(this->jobs[job].at_ms, [this, job] { this->Submit(job); });
  }
  this->ScheduleDisturbances();
  this->RunUntil([this] {
    return this->sent == this->jobs.size() && this->in_progress.empty() &&
           this->MsSinceStart(this->clock.Now()) >= this->workload.duration_s * 1000;
  });
  this->timeline.clear();
  this->RunUntil([this] { return this->calls_open == 0; });
  return this->records;
}

void LoadRunner::Schedule(double at_ms, std::function<void()> step) {
  const auto after = std::chrono::duration<double, std::milli>(at_ms);
  this->timeline.emplace(
      this->start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(after),
      std::move(step));
}

void LoadRunner::ScheduleDisturbances() {
  for (const WorkloadControl& control : this->workload.controls) {
    std::string address = this->targets.platform;
    if (control.endpoint) {
      address = *control.endpoint < this->targets.endpoints.size()
                    ? this->targets.endpoints[*control.endpoint]
                    : "";
    }
    if (address.empty()) continue;
    this->Schedule(control.at_s * 1000,
                   [this, address, body = control.body] { this->Control(address, body); });
  }
  for (const WorkloadCancellation& wave : this->workload.cancellations) {
    this->Schedule(wave.at_s * 1000, [this, share = wave.share] { this->CancelShare(share); });
  }
  // The line at time zero tells scripts/measure when the load starts.
  this->Schedule(0, [this] { this->ReportProgress(); });
}

void LoadRunner::RunUntil(const std::function<bool()>& finished) {
  // Ticks bound the wait, because `finished` may depend on the time.
  constexpr std::chrono::milliseconds kTick{50};
  while (!finished()) {
    auto until = this->clock.Now() + kTick;
    if (!this->timeline.empty()) until = std::min(until, this->timeline.begin()->first);
    if (auto reply = this->replies.PopUntil(until)) (*reply)();
    while (!this->timeline.empty() && this->timeline.begin()->first <= this->clock.Now()) {
      auto step = this->timeline.extract(this->timeline.begin());
      step.mapped()();
    }
  }
}

void LoadRunner::Call(const LoadRequest& request, ReplyHandler handle) {
  ++this->calls_open;
  this->send(request, [this, handle = std::move(handle)](LoadReply reply) {
    const auto received = this->clock.Now();
    // The ring has room for all calls that can be open.
    this->replies.TryPush([this, handle, received, reply = std::move(reply)] {
      --this->calls_open;
      handle(reply, received);
    });
  });
}

void LoadRunner::Control(const std::string& address, const std::string& body) {
  this->Call({address, "POST", "/control", body},
             [this, address](const LoadReply& reply, auto /*received*/) {
               if (reply.status == 200) return;
               ++this->failed_controls;
               this->progress("control of " + address + " failed: " + reply.body);
             });
}

void LoadRunner::SetSpeeds() {
  for (std::size_t i = 0; i < this->targets.endpoints.size(); ++i) {
    Json::Value control;
    control["speed"] = this->workload.endpoints[i].speed;
    control["added_latency_ms"] = this->workload.endpoint_latency_ms;
    this->Control(this->targets.endpoints[i], WriteJson(control));
  }
}

void LoadRunner::RefillTickets(std::size_t entry) {
  if (this->refilling[entry]) return;
  this->refilling[entry] = true;
  Json::Value body;
  body["count"] = kTicketsPerRefill;
  this->Call(
      {this->targets.entries[entry], "POST", this->ServicePath() + "/tickets", WriteJson(body)},
      [this, entry](const LoadReply& reply, auto /*received*/) {
        this->refilling[entry] = false;
        this->AddTickets(entry, ReadTickets(reply.body));
        if (!this->tickets[entry].empty()) return;
        this->Schedule(this->MsSinceStart(this->clock.Now()) + kRefillPauseMs,
                       [this, entry] { this->RefillTickets(entry); });
      });
}

void LoadRunner::AddTickets(std::size_t entry, const std::vector<std::string>& fresh) {
  this->tickets[entry].insert(this->tickets[entry].end(), fresh.begin(), fresh.end());
  this->SubmitWaiting(entry);
}

void LoadRunner::Submit(std::size_t job) {
  const std::size_t entry = job % this->targets.entries.size();
  ++this->sent;
  this->in_progress[job] = entry;
  this->waiting[entry].push_back(job);
  this->SubmitWaiting(entry);
}

void LoadRunner::SubmitWaiting(std::size_t entry) {
  while (!this->waiting[entry].empty() && !this->tickets[entry].empty()) {
    const std::size_t job = this->waiting[entry].front();
    this->waiting[entry].pop_front();
    this->records[job].ticket = this->tickets[entry].front();
    this->tickets[entry].pop_front();
    this->SendAttempt({job, entry, this->workload.resubmissions});
  }
  if (this->tickets[entry].size() < kLowTickets) this->RefillTickets(entry);
}

void LoadRunner::SendAttempt(const Attempt& attempt) {
  this->Call({this->targets.entries[attempt.entry], "POST", this->ServicePath() + "/jobs",
              this->Body(attempt.job)},
             [this, attempt](const LoadReply& reply, auto received) {
               this->HandleReply(attempt, reply, received);
             });
}

void LoadRunner::HandleReply(const Attempt& attempt, const LoadReply& reply,
                             std::chrono::steady_clock::time_point received) {
  CallerAnswer answer = ReadCallerAnswer(reply.status, reply.body, this->Echoes(attempt.job));
  if (answer.status == CallerStatus::kNoAnswer && attempt.resubmissions_left > 0) {
    const std::size_t next = (attempt.entry + 1) % this->targets.entries.size();
    this->in_progress[attempt.job] = next;
    this->SendAttempt({attempt.job, next, attempt.resubmissions_left - 1});
    return;
  }
  JobRecord& record = this->records[attempt.job];
  record.answered_at_ms = this->MsSinceStart(received);
  record.response_ms =
      record.answered_at_ms - this->jobs[attempt.job].at_ms + 2 * this->workload.caller_latency_ms;
  record.answered = true;
  this->in_progress.erase(attempt.job);
  ++this->answered[answer.status];
  // Fresh tickets belong to the entry that answered.
  const std::vector<std::string> fresh = std::move(answer.tickets);
  record.answer = std::move(answer);
  this->AddTickets(attempt.entry, fresh);
}

void LoadRunner::CancelShare(double share) {
  const auto count =
      std::llround(std::min(1.0, share) * static_cast<double>(this->in_progress.size()));
  auto job = this->in_progress.begin();
  for (std::int64_t i = 0; i < count; ++i, ++job) {
    const std::string& ticket = this->records[job->first].ticket;
    if (ticket.empty()) continue;
    this->Call(
        {this->targets.entries[job->second], "DELETE", this->ServicePath() + "/jobs/" + ticket, ""},
        IgnoreReply);
  }
}

void LoadRunner::ReportProgress() {
  const double now_ms = this->MsSinceStart(this->clock.Now());
  this->progress("t=" + std::to_string(std::llround(now_ms / 1000)) +
                 " sent=" + std::to_string(this->sent) +
                 " complete=" + std::to_string(this->answered[CallerStatus::kComplete]) +
                 " failed=" + std::to_string(this->answered[CallerStatus::kFailed]) +
                 " refused=" + std::to_string(this->answered[CallerStatus::kRefused]) +
                 " no_answer=" + std::to_string(this->answered[CallerStatus::kNoAnswer]) +
                 " in_progress=" + std::to_string(this->in_progress.size()));
  this->Schedule(now_ms + 1000, [this] { this->ReportProgress(); });
}

std::string LoadRunner::Body(std::size_t index) const {
  const PlannedJob& job = this->jobs[index];
  const WorkloadKind& kind = this->workload.kinds[job.kind];
  Json::Value body;
  body["ticket"] = this->records[index].ticket;
  body["team"] = this->workload.teams[job.team].name;
  body["kind"] = kind.name;
  if (kind.deadline.count() > 0) {
    body["deadline_ms"] = static_cast<Json::Int64>(kind.deadline.count());
  }
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    Json::Value task;
    task["payload"]["run_ms"] = job.tasks[i].run_ms;
    task["payload"]["echo"] = Echo(this->workload, index, i);
    if (job.tasks[i].declared_ms > 0) {
      task["declared_ms"] = static_cast<Json::Int64>(std::llround(job.tasks[i].declared_ms));
    }
    body["tasks"].append(task);
  }
  return WriteJson(body);
}

std::vector<std::string> LoadRunner::Echoes(std::size_t job) const {
  std::vector<std::string> echoes;
  for (std::size_t i = 0; i < this->jobs[job].tasks.size(); ++i) {
    echoes.push_back(Echo(this->workload, job, i));
  }
  return echoes;
}

double LoadRunner::MsSinceStart(std::chrono::steady_clock::time_point time) const {
  return std::chrono::duration<double, std::milli>(time - this->start).count();
}

std::string LoadRunner::ServicePath() const { return "/v1/services/" + this->workload.service; }

}  // namespace quetzalvale
