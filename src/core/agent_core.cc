#include "core/agent_core.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

// Reasons in outcomes that prove that the task did not run; the owner may place it elsewhere.
constexpr std::string_view kNotRun = "not_run";
constexpr std::string_view kExpired = "expired";
// Reasons of tasks that may have run.
constexpr std::string_view kEndpointLost = "endpoint_lost";
constexpr std::string_view kOutcomeUnknown = "outcome_unknown";

/// Reason of EndpointRefused that says that no connection to the endpoint was made.
constexpr std::string_view kUnreachable = "unreachable";

/// Pauses before a configuration that did not arrive, or cannot be read, is asked for again.
constexpr Milliseconds kFirstFetchPause{1000};
constexpr Milliseconds kLongestFetchPause{60000};
/// Ticks come every 100 ms at the latest; a gap of this length means that the process was stopped.
constexpr Milliseconds kGap{1000};
/// A leaving agent whose tasks are done delivers outcomes for at most this long. An owner that does
/// not answer for a minute has been salvaged.
constexpr Milliseconds kDeliverLimit{60000};
/// Entries that answer nothing for this long are not waited for when leaving.
constexpr Milliseconds kTellLimit{5000};
/// Starts that were under way when their sender heard of the leaving are still refused properly
/// during this time. Without a refusal the sender could not place them elsewhere.
constexpr Milliseconds kLinger{500};

bool ProvesNotRun(std::string_view reason) { return reason == kNotRun || reason == kExpired; }

Outcome FailedOutcome(const TaskKey& task, std::string_view reason) {
  Outcome outcome;
  outcome.task = task;
  outcome.reason = reason;
  return outcome;
}

}  // namespace

AgentCore::AgentCore(AgentIdentity identity, std::vector<std::string> seed_entry_addresses)
    : AgentCore(std::move(identity), std::move(seed_entry_addresses), AgentGuards(),
                TaskStore::Limits(), StartedTickets::kDefaultTasks, SealedTickets::Limits()) {}

AgentCore::AgentCore(AgentIdentity identity, std::vector<std::string> seed_entry_addresses,
                     AgentGuards guards, TaskStore::Limits task_limits, std::size_t started_tasks,
                     SealedTickets::Limits sealed_limits)
    : identity(std::move(identity)),
      guards(std::move(guards)),
      configuration(std::make_shared<ServiceConfiguration>()),
      store(task_limits),
      started(started_tasks),
      sealed(sealed_limits),
      channels([this](const Incarnation& owner) {
        return !this->store.HasUnfinished(owner) && !this->outcomes.HasPending(owner);
      }),
      announcer(seed_entry_addresses,
                [this](const std::string& address) { return this->HoldsTasksOf(address); }) {}

std::vector<AgentAction> AgentCore::Handle(Time time, const AgentEvent& event) {
  this->now = time;
  this->NoteGap();
  std::visit([this](const auto& concrete) { this->On(concrete); }, event);
  this->EndExpired();
  this->FillSlots();
  this->RenewDueLeases();
  this->CheckEndpointIfDue();
  this->SendDueOutcomes();
  this->AnnounceIfDue();
  this->CloseOwners();
  this->store.DiscardExpired(this->now);
  this->DepartIfDone();
  this->previous = this->now;
  return std::exchange(this->actions, {});
}

AgentLoad AgentCore::Load() const {
  AgentLoad load;
  const auto used = static_cast<int>(this->store.Running() + this->store.Queued());
  if (!this->leaving && this->endpoint.IsUp()) {
    load.free_slots = std::max(0, this->identity.worker.slots - used);
  }
  load.queued = static_cast<int>(this->store.Queued());
  load.configuration_version = this->configuration->version;
  load.leaving = this->leaving;
  return load;
}

// ---- Starts -------------------------------------------------------------------------------

void AgentCore::On(const StartReceived& event) {
  const StartRequest& message = event.message;
  StartReply reply;
  reply.agent = this->identity.incarnation;
  if (!this->guards.same_incarnation(this->identity.incarnation, message.agent)) {
    reply.decisions.assign(message.items.size(), StartRefusal::kWrongIncarnation);
  } else if (!this->guards.accept_sequence(this->channels, message.owner, message.channel_sequence,
                                           this->now)) {
    // The first copy may have started the tasks, so that no refusal would be true.
    reply.repeated = true;
    this->LogLine(
        2018, "start_repeated",
        "owner=" + message.owner.Text() + " sequence=" + std::to_string(message.channel_sequence));
  } else {
    this->outcomes.HeardFrom(message.owner, message.owner_address, this->now);
    for (const auto& item : message.items) {
      reply.decisions.push_back(this->Decide(message, item, &reply));
    }
  }
  this->FillSlots();
  reply.load = this->Load();
  this->actions.emplace_back(ReplyStart{event.request, std::move(reply)});
  this->announcer.Learn(message.owner_address, this->now);
  this->announcer.NoteTraffic(message.owner_address, this->now);
  this->NoteVersion(message.configuration_version, message.owner_address);
}

StartRefusal AgentCore::Decide(const StartRequest& request, const StartItem& item,
                               StartReply* reply) {
  const Ticket& ticket = item.task.ticket;
  if (ticket.owner != request.owner || ticket.service != this->identity.service) {
    return StartRefusal::kWrongIncarnation;
  }
  const TaskRecord* record = this->store.Find(item.task);
  if (record != nullptr && record->DidNotRun() && record->released) {
    // The owner has the proof that the earlier start did not run and places the task anew.
    this->store.RemoveNotRun(item.task);
    record = nullptr;
  }
  if (record != nullptr) {
    return this->DecideKnown(*record, reply);
  }
  if (this->guards.ask_started(this->started, item.task) != StartedAnswer::kNever) {
    // A refusal would claim that the task did not run.
    this->LogLine(2021, "already_started", "task=" + item.task.Text());
    reply->outcomes.push_back(FailedOutcome(item.task, kOutcomeUnknown));
    return StartRefusal::kNone;
  }
  return this->DecideNew(request, item);
}

StartRefusal AgentCore::DecideKnown(const TaskRecord& record, StartReply* reply) const {
  if (record.DidNotRun()) {
    // The outcome that proves it is still on its way, and its acknowledgement would be taken for
    // one of the new start's outcome.
    return StartRefusal::kBusy;
  }
  if (record.state == TaskState::kFinished) {
    reply->outcomes.push_back(record.outcome);
  }
  return StartRefusal::kNone;
}

StartRefusal AgentCore::DecideNew(const StartRequest& request, const StartItem& item) {
  if (this->leaving) {
    return StartRefusal::kLeaving;
  }
  if (this->guards.is_sealed(this->sealed, item.task.ticket)) {
    return StartRefusal::kSealed;
  }
  if (!this->guards.has_time_left(this->now, this->now + item.time_left)) {
    return StartRefusal::kExpired;
  }
  if (!this->endpoint.IsUp()) {
    return StartRefusal::kEndpointDown;
  }
  if (this->IsBusy() || !this->store.MakeRoom(item.spec.payload.size())) {
    return StartRefusal::kBusy;
  }
  TaskRecord record;
  record.channel_sequence = request.channel_sequence;
  record.kind = item.kind;
  record.payload = item.spec.payload;
  record.lease = request.lease > Milliseconds(0) ? request.lease : this->configuration->lease;
  record.deadline = this->now + item.time_left;
  this->store.Add(item.task, std::move(record));
  return StartRefusal::kNone;
}

bool AgentCore::IsBusy() const {
  const auto slots = static_cast<std::size_t>(std::max(0, this->identity.worker.slots));
  return this->store.Running() + this->store.Queued() >= slots + this->configuration->agent_queue;
}

// ---- Withdrawal and salvage ---------------------------------------------------------------

void AgentCore::On(const WithdrawReceived& event) {
  const WithdrawRequest& message = event.message;
  WithdrawReply reply;
  reply.agent = this->identity.incarnation;
  if (this->guards.same_incarnation(this->identity.incarnation, message.agent)) {
    this->outcomes.HeardFrom(message.owner, std::string(), this->now);
    for (const auto& item : message.items) {
      reply.reports.push_back(this->Withdraw(message, item));
    }
  }
  this->FillSlots();
  reply.load = this->Load();
  this->actions.emplace_back(ReplyWithdraw{event.request, std::move(reply)});
  this->announcer.NoteTraffic(this->outcomes.AddressOf(message.owner), this->now);
}

TaskReport AgentCore::Withdraw(const WithdrawRequest& request, const WithdrawItem& item) {
  this->guards.accept_sequence(this->channels, request.owner, item.channel_sequence, this->now);
  const TaskRecord* record = this->store.Find(item.task);
  const bool own = item.task.ticket.owner == request.owner;
  if (record == nullptr || !own) {
    return this->Report(item.task);
  }
  // A delayed duplicate of an earlier withdrawal must not take back a later start.
  const bool stale = item.channel_sequence < record->channel_sequence;
  if (record->state == TaskState::kQueued && !stale) {
    this->store.RemoveQueued(item.task);
  } else if (record->state == TaskState::kRunning && request.stop_running && !stale) {
    this->actions.emplace_back(StopOnEndpoint{item.task});
  }
  return this->Report(item.task);
}

TaskReport AgentCore::Report(const TaskKey& task) const {
  TaskReport report{task, TaskStatus::kNotRun, std::nullopt};
  const TaskRecord* record = this->store.Find(task);
  if (record == nullptr) {
    if (this->guards.ask_started(this->started, task) != StartedAnswer::kNever) {
      report.status = TaskStatus::kFinished;
      report.outcome = FailedOutcome(task, kOutcomeUnknown);
    }
  } else if (record->state != TaskState::kFinished) {
    report.status = TaskStatus::kRunning;
  } else if (!record->DidNotRun()) {
    report.status = TaskStatus::kFinished;
    report.outcome = record->outcome;
  }
  return report;
}

void AgentCore::On(const SealReceived& event) {
  const Ticket& ticket = event.message.ticket;
  this->sealed.Seal(ticket);
  if (this->sealed.AllSealed()) {
    this->LogLine(2017, "all_sealed", "ticket=" + ticket.Text());
  }
  SealReply reply;
  reply.agent = this->identity.incarnation;
  reply.maybe_started = this->MaybeStarted(ticket);
  for (const auto& task : this->store.TasksOf(ticket)) {
    if (this->store.Find(task)->state == TaskState::kQueued) {
      this->FinishNotRun(task, kNotRun);
    }
    reply.reports.push_back(this->Report(task));
  }
  this->LogLine(2013, "ticket_sealed",
                "ticket=" + ticket.Text() + " sealer=" + event.message.sealer.Text() +
                    " recorded=" + std::to_string(reply.reports.size()));
  this->actions.emplace_back(ReplySeal{event.request, std::move(reply)});
}

bool AgentCore::MaybeStarted(const Ticket& ticket) const {
  if (this->started.IsBelowFloor(ticket)) {
    return true;
  }
  std::size_t recorded = 0;
  for (const auto& task : this->store.TasksOf(ticket)) {
    const TaskRecord* record = this->store.Find(task);
    recorded += record->handed_over && !record->refused ? 1 : 0;
  }
  return this->started.CountOf(ticket) > recorded;
}

// ---- Endpoint -----------------------------------------------------------------------------

void AgentCore::On(const EndpointFinished& event) {
  const TaskRecord* record = this->store.Find(event.task);
  if (record == nullptr || record->state != TaskState::kRunning) {
    return;
  }
  Outcome outcome = FailedOutcome(event.task, kEndpointLost);
  if (IsOk(event.outcome)) {
    outcome = std::get<Outcome>(event.outcome);
    if (!outcome.ok && ProvesNotRun(outcome.reason)) {
      // The endpoint's own word for a failure must not pass for the agent's proof.
      outcome.reason = "endpoint_" + outcome.reason;
    }
  } else {
    this->LogLine(2020, "task_connection_lost",
                  "task=" + event.task.Text() + " error=" + GetError(event.outcome).message);
    this->endpoint.Suspect(this->now);
  }
  this->leases.Remove(event.task);
  this->store.Finish(event.task, std::move(outcome));
  this->Deliver(event.task);
}

void AgentCore::On(const EndpointRefused& event) {
  const TaskRecord* record = this->store.Find(event.task);
  if (record == nullptr || record->state != TaskState::kRunning) {
    return;
  }
  this->LogLine(2019, "task_refused_by_endpoint",
                "task=" + event.task.Text() + " reason=" + event.reason);
  this->leases.Remove(event.task);
  this->started.Forget(event.task);
  this->store.Finish(event.task, FailedOutcome(event.task, kNotRun), true);
  this->Deliver(event.task);
  if (event.reason == kUnreachable) {
    this->endpoint.Suspect(this->now);
  }
}

void AgentCore::On(const EndpointChecked& event) {
  const bool was_up = this->endpoint.IsUp();
  const bool was_found_down = this->endpoint.IsFoundDown();
  const bool tell = this->endpoint.Checked(event.up, this->now);
  if (tell) {
    this->LogLine(2010, "endpoint_up", "");
  }
  if (tell || (!event.up && !was_found_down)) {
    this->announcer.AnnounceNowToAll();
  }
  if (event.up) {
    return;
  }
  if (was_up) {
    this->LogLine(2011, "endpoint_down", "queued=" + std::to_string(this->store.Queued()));
  }
  for (const auto& task : this->store.QueuedTasks()) {
    this->FinishNotRun(task, kNotRun);
  }
}

void AgentCore::CheckEndpointIfDue() {
  if (this->endpoint.TakeDue(this->now)) {
    this->actions.emplace_back(CheckEndpoint{});
  }
}

void AgentCore::NoteGap() {
  if (this->previous && this->now - *this->previous >= kGap) {
    const auto gap = std::chrono::duration_cast<Milliseconds>(this->now - *this->previous);
    this->LogLine(2023, "resumed_after_gap", "gap_ms=" + std::to_string(gap.count()));
  }
}

void AgentCore::EndExpired() {
  for (const auto& task : this->store.QueuedTasks()) {
    if (!this->guards.has_time_left(this->now, this->store.Find(task)->deadline)) {
      this->FinishNotRun(task, kExpired);
    }
  }
}

void AgentCore::FillSlots() {
  const auto slots = static_cast<std::size_t>(std::max(0, this->identity.worker.slots));
  while (this->endpoint.IsUp() && this->store.Running() < slots) {
    const std::optional<TaskKey> next = this->store.FirstQueued();
    if (!next) {
      return;
    }
    // After a freeze the time left may be over although no tick has said so yet.
    if (this->guards.has_time_left(this->now, this->store.Find(*next)->deadline)) {
      this->HandOver(*next);
    } else {
      this->FinishNotRun(*next, kExpired);
    }
  }
}

void AgentCore::HandOver(const TaskKey& task) {
  this->started.Note(task);
  StartOnEndpoint start;
  start.task = task;
  start.payload = this->store.HandOver(task);
  const TaskRecord& record = *this->store.Find(task);
  start.kind = record.kind;
  start.lease = record.lease;
  start.time_left = std::chrono::duration_cast<Milliseconds>(record.deadline - this->now);
  this->leases.Add(task, record.lease, this->now);
  this->actions.emplace_back(std::move(start));
}

void AgentCore::RenewDueLeases() {
  for (auto& renewal : this->leases.TakeDue(this->now)) {
    if (renewal.late > 0) {
      this->LogLine(2012, "leases_late", "tasks=" + std::to_string(renewal.late));
    }
    this->actions.emplace_back(RenewLeases{std::move(renewal.tasks), renewal.lease});
  }
}

// ---- Outcomes -----------------------------------------------------------------------------

void AgentCore::FinishNotRun(const TaskKey& task, std::string_view reason) {
  this->store.Finish(task, FailedOutcome(task, reason));
  this->Deliver(task);
}

void AgentCore::Deliver(const TaskKey& task) {
  if (!this->outcomes.Add(task, this->now)) {
    this->store.Release(task, this->now);
  }
}

void AgentCore::Release(const std::vector<TaskKey>& tasks) {
  for (const auto& task : tasks) {
    this->store.Release(task, this->now);
  }
}

void AgentCore::On(const OutcomesReplied& event) {
  if (!IsOk(event.reply)) {
    this->outcomes.Failed(event.owner, this->now);
    return;
  }
  const auto& reply = std::get<OutcomesReply>(event.reply);
  const std::string address = this->outcomes.AddressOf(event.owner);
  if (reply.owner == event.owner) {
    this->outcomes.Acknowledged(event.owner, event.tasks, this->now);
    this->Release(event.tasks);
    this->announcer.NoteTraffic(address, this->now);
  } else {
    const std::vector<TaskKey> tasks = this->outcomes.GiveUp(event.owner);
    this->Release(tasks);
    this->announcer.AnnounceNow(address);
    this->LogLine(2014, "owner_gone",
                  "owner=" + event.owner.Text() + " successor=" + reply.owner.Text() +
                      " outcomes=" + std::to_string(tasks.size()));
  }
  this->NoteVersion(reply.configuration_version, address);
}

void AgentCore::SendDueOutcomes() {
  for (const auto& given_up : this->outcomes.GiveUpUnreachable(this->now)) {
    this->Release(given_up.tasks);
    this->LogLine(
        2014, "owner_gone",
        "owner=" + given_up.owner.Text() + " outcomes=" + std::to_string(given_up.tasks.size()));
  }
  for (const auto& batch : this->outcomes.TakeDue(this->now)) {
    SendOutcomes send;
    send.address = batch.address;
    send.message.agent = this->identity.incarnation;
    send.message.owner = batch.owner;
    send.message.load = this->Load();
    for (const auto& task : batch.tasks) {
      send.message.outcomes.push_back(this->store.Find(task)->outcome);
    }
    this->outcomes_sent += batch.first_sent;
    this->useful_outcome_messages += batch.first_sent > 0 ? 1 : 0;
    this->outcomes_repeated += batch.tasks.size() - batch.first_sent;
    this->actions.emplace_back(std::move(send));
  }
}

void AgentCore::CloseOwners() {
  for (const auto& owner : this->channels.TakeClosed()) {
    this->started.CloseOwner(owner);
    this->outcomes.Forget(owner);
    this->LogLine(2022, "owner_closed", "owner=" + owner.Text());
  }
}

// ---- Membership ---------------------------------------------------------------------------

void AgentCore::On(const AnnounceReplied& event) {
  if (!IsOk(event.reply)) {
    this->announcer.Failed(event.address, this->now);
    return;
  }
  const auto& reply = std::get<AnnounceReply>(event.reply);
  this->announcer.Answered(event.address, reply, this->now);
  this->NoteVersion(reply.configuration_version, event.address);
}

void AgentCore::On(const NoticeReceived& event) {
  const AnnounceReply& notice = event.message;
  this->announcer.Noticed(notice, this->now);
  this->announcer.NoteTraffic(notice.entry.address, this->now);
  this->actions.emplace_back(
      ReplyNotice{event.request, this->MakeHeartbeat(notice.entries_digest)});
  this->NoteVersion(notice.configuration_version, notice.entry.address);
}

bool AgentCore::HoldsTasksOf(const std::string& address) const {
  return this->outcomes.AnyOwnerAt(address, [this](const Incarnation& owner) {
    return this->store.HasUnfinished(owner) || this->outcomes.HasPending(owner);
  });
}

Announce AgentCore::MakeAnnounce() const {
  Announce message;
  message.agent = this->identity.incarnation;
  message.name = this->identity.name;
  message.service = this->identity.service;
  message.data_centre = this->identity.data_centre;
  message.address = this->identity.address;
  message.worker = this->identity.worker;
  message.load = this->Load();
  return message;
}

Heartbeat AgentCore::MakeHeartbeat(std::uint64_t entries_digest) const {
  return {this->identity.incarnation, this->Load(), entries_digest};
}

void AgentCore::AnnounceIfDue() {
  if (this->departed) {
    return;
  }
  for (const Announcer::Due& due : this->announcer.TakeDue(this->now)) {
    if (due.full) {
      this->actions.emplace_back(SendAnnounce{due.address, this->MakeAnnounce()});
    } else {
      this->actions.emplace_back(
          SendHeartbeat{due.address, this->MakeHeartbeat(due.entries_digest)});
    }
  }
}

void AgentCore::On(const AgentConfigurationChanged& event) {
  if (event.configuration->version <= this->configuration->version) {
    return;
  }
  this->configuration = event.configuration;
  this->announcer.SetIntervals(this->configuration->health);
  this->outcomes.SetBatching(this->configuration->batching.outcome_delay,
                             this->configuration->batching.batch_tasks);
  this->LogLine(2004, "configuration_taken",
                "version=" + std::to_string(this->configuration->version));
}

void AgentCore::NoteVersion(std::uint64_t version, const std::string& address) {
  const bool asked_before = version <= this->fetched_version;
  const bool waits = asked_before && this->now < this->fetch_again;
  if (version <= this->configuration->version || address.empty() || waits) {
    return;
  }
  this->fetch_pause =
      asked_before ? std::min(this->fetch_pause * 2, kLongestFetchPause) : kFirstFetchPause;
  this->fetched_version = version;
  this->fetch_again = this->now + this->fetch_pause;
  this->actions.emplace_back(FetchConfiguration{address, version});
}

void AgentCore::On(const LeaveRequested& /*event*/) {
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->leaving_since = this->now;
  this->announcer.Leave();
  this->LogLine(2015, "leaving",
                "running=" + std::to_string(this->store.Running()) +
                    " queued=" + std::to_string(this->store.Queued()));
}

void AgentCore::On(const Tick& /*event*/) {}

void AgentCore::DepartIfDone() {
  if (!this->leaving || this->departed || this->store.Running() + this->store.Queued() > 0) {
    return;
  }
  if (!this->idle_since) {
    this->idle_since = this->now;
  }
  const bool known =
      this->announcer.AllKnowOfLeaving() || this->now - this->leaving_since >= kTellLimit;
  if (known && !this->known_since) {
    this->known_since = this->now;
  }
  const std::size_t pending = this->outcomes.Pending();
  const bool delivered = pending == 0 || this->now - *this->idle_since >= kDeliverLimit;
  if (delivered && this->known_since && this->now - *this->known_since >= kLinger) {
    this->departed = true;
    this->LogLine(2016, "departed", "undelivered=" + std::to_string(pending));
    this->actions.emplace_back(Departed{});
  }
}

void AgentCore::LogLine(int number, std::string_view name, std::string details) {
  this->actions.emplace_back(LogEvent{number, std::string(name), std::move(details)});
}

}  // namespace quetzalvale
