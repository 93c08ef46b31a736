#include "tests/core/simulation.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

constexpr const char* kService = "orders";
constexpr Milliseconds kCallTimeout{800};
/// An entry sees a change of the store's table within this time, in milliseconds.
constexpr int kPollMs = 1000;
/// No start in an evacuated data centre later than this after the store acknowledged the row.
constexpr Milliseconds kEvacuationBound{5000};

std::string ExpectedResult(const TaskKey& task, const std::string& payload) {
  return "\"" + std::to_string(task.index) + ":" + payload + "\"";
}

}  // namespace

Simulation::Simulation(std::uint64_t seed, SimulationSettings settings)
    : settings(settings), random(seed), configuration(this->MakeConfiguration()) {
  for (int i = 0; i < settings.entries; ++i) {
    this->StartProcess("entry" + std::to_string(i), true);
  }
  for (int i = 0; i < settings.agents; ++i) {
    this->StartProcess("agent" + std::to_string(i), false);
  }
}

std::shared_ptr<ServiceConfiguration> Simulation::MakeConfiguration() {
  auto service_configuration = std::make_shared<ServiceConfiguration>();
  service_configuration->service = kService;
  service_configuration->version = 1;
  service_configuration->kinds = {{"quote", 1, Milliseconds(2000), Milliseconds(20)},
                                  {"check", 0, Milliseconds(1000), Milliseconds(20)}};
  service_configuration->worker_limits.accelerators = 0;
  service_configuration->tickets.valid = std::chrono::seconds(20);
  service_configuration->tickets.answer_kept = std::chrono::seconds(60);
  service_configuration->tickets.answers_kept = 5000;
  service_configuration->health.heartbeat = Milliseconds(200);
  service_configuration->health.idle_heartbeat = Milliseconds(1000);
  service_configuration->health.distant_heartbeat = Milliseconds(4000);
  service_configuration->health.agent_lost = Milliseconds(600);
  service_configuration->health.agent_dead = Milliseconds(2000);
  service_configuration->health.eject_after = 5;
  service_configuration->health.probe_after = Milliseconds(300);
  service_configuration->lease = Milliseconds(600);
  return service_configuration;
}

bool Simulation::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

Milliseconds Simulation::RandomDuration(int low, int high) {
  return Milliseconds(std::uniform_int_distribution<int>(low, high)(this->random));
}

Microseconds Simulation::NetworkDelay() {
  if (this->faulty && this->Chance(this->settings.message_delay)) {
    return this->RandomDuration(20, 3000);
  }
  return Microseconds(std::uniform_int_distribution<int>(100, 2000)(this->random));
}

void Simulation::ScheduleAt(Time time, std::function<void()> action) {
  this->schedule.push({time, this->order++, std::move(action)});
}

void Simulation::ScheduleAfter(Time::duration delay, std::function<void()> action) {
  this->ScheduleAt(this->now + delay, std::move(action));
}

void Simulation::RunInProcess(const std::string& address, std::uint64_t generation,
                              std::function<void(Process&)> action) {
  Process& process = this->processes[address];
  if (!process.alive || process.generation != generation) {
    return;
  }
  if (this->now < process.frozen_until) {
    this->ScheduleAt(process.frozen_until, [this, address, generation, action = std::move(action)] {
      this->RunInProcess(address, generation, action);
    });
    return;
  }
  action(process);
}

void Simulation::StartProcess(const std::string& address, bool is_entry) {
  Process& process = this->processes[address];
  process.address = address;
  ++process.generation;
  process.alive = true;
  process.leaving = false;
  process.frozen_until = this->now;
  const Incarnation incarnation{7, this->next_incarnation++};
  process.info = {incarnation, address, "dc"};
  std::vector<std::string> seeds;
  for (int i = 0; i < this->settings.entries; ++i) {
    seeds.push_back("entry" + std::to_string(i));
  }
  if (is_entry) {
    process.entry = std::make_unique<EntryCore>(process.info, std::vector<std::string>{kService},
                                                seeds, this->random());
    if (this->settings.evacuations) {
      this->ReadEvacuations(process);
    } else {
      this->HandleEntry(process, ConfigurationChanged{this->configuration});
    }
  } else {
    AgentIdentity identity;
    identity.incarnation = incarnation;
    identity.name = address;
    identity.service = kService;
    identity.data_centre =
        this->settings.evacuations ? std::string("dc") + address.back() : std::string("dc");
    identity.address = address;
    identity.worker = {3, 64, 16, 32768, 0};
    process.agent = std::make_unique<AgentCore>(identity, seeds);
    this->HandleAgent(process, AgentConfigurationChanged{this->configuration});
  }
  this->TickProcess(address, process.generation);
}

void Simulation::TickProcess(const std::string& address, std::uint64_t generation) {
  this->ScheduleAfter(Milliseconds(10), [this, address, generation] {
    this->RunInProcess(address, generation, [this, address, generation](Process& process) {
      if (process.entry) {
        this->HandleEntry(process, Tick{});
      } else {
        this->HandleAgent(process, Tick{});
      }
      this->TickProcess(address, generation);
    });
  });
}

void Simulation::HandleEntry(Process& process, const EntryEvent& event) {
  ++this->events;
  for (const EntryAction& action : process.entry->Handle(this->now, event)) {
    std::visit([&](const auto&) { this->Perform(process, action); }, action);
    if (!process.alive) {
      return;
    }
  }
}

void Simulation::HandleAgent(Process& process, const AgentEvent& event) {
  ++this->events;
  for (const AgentAction& action : process.agent->Handle(this->now, event)) {
    this->Perform(process, action);
    if (!process.alive) {
      return;
    }
  }
}

template <typename ReplyMessage>
void Simulation::Call(Process& from, const std::string& address,
                      std::function<void(Process&, RequestId)> deliver,
                      std::function<void(Process&, Result<ReplyMessage>)> done) {
  const std::string sender = from.address;
  const std::uint64_t generation = from.generation;
  const auto ended = std::make_shared<bool>(false);
  const auto end = [this, sender, generation, ended, done](const Result<ReplyMessage>& result) {
    this->RunInProcess(sender, generation, [ended, done, result](Process& process) {
      if (!std::exchange(*ended, true)) {
        done(process, result);
      }
    });
  };
  const bool cut_off = this->blocked_links.contains({sender, address});
  if (this->faulty && this->Chance(0.005)) {
    this->ScheduleAfter(Milliseconds(1), [end] {
      end(Error{ErrorKind::kUnreachable, "the call was not sent"});
    });
    return;
  }
  this->ScheduleAfter(kCallTimeout, [end] { end(Error{ErrorKind::kTimeout, "no reply"}); });
  int copies = this->faulty && this->Chance(this->settings.message_duplication) ? 2 : 1;
  if (cut_off || (this->faulty && this->Chance(this->settings.message_loss))) {
    copies = 0;
  }
  for (int i = 0; i < copies; ++i) {
    this->ScheduleAfter(this->NetworkDelay(), [this, address, sender, deliver, end] {
      // The message goes to the process that has the address when it arrives.
      const std::uint64_t receiver = this->processes[address].generation;
      this->RunInProcess(
          address, receiver, [this, address, sender, deliver, end](Process& process) {
            const RequestId request = this->next_request++;
            this->pending_calls[request] = [this, address, sender, end](const void* reply) {
              const auto copy = *static_cast<const ReplyMessage*>(reply);
              const bool message_loss = this->blocked_links.contains({address, sender}) ||
                                        (this->faulty && this->Chance(this->settings.message_loss));
              if (!message_loss) {
                this->ScheduleAfter(this->NetworkDelay(), [end, copy] { end(copy); });
              }
            };
            deliver(process, request);
          });
    });
  }
}

template <typename ReplyMessage>
void Simulation::DeliverReply(RequestId request, const ReplyMessage& reply) {
  const auto found = this->pending_calls.find(request);
  if (found == this->pending_calls.end()) {
    this->violations.push_back("two replies to call " + std::to_string(request));
    return;
  }
  const auto call = std::move(found->second);
  this->pending_calls.erase(found);
  call(&reply);
}

void Simulation::Perform(Process& process, const EntryAction& action) {
  if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    this->OnAnswer(*answer);
  } else if (const auto* grant = std::get_if<GrantTickets>(&action)) {
    if (IsOk(grant->tickets)) {
      const auto& granted = std::get<0>(grant->tickets);
      this->tickets.insert(this->tickets.end(), granted.begin(), granted.end());
    }
  } else if (const auto* claim = std::get_if<ClaimKey>(&action)) {
    const bool fails = this->Chance(0.1);
    Result<Ticket> result = Error{ErrorKind::kPlatformUnavailable, "outage"};
    if (!fails || this->Chance(0.5)) {
      const auto row = this->claimed_keys.try_emplace(claim->key, claim->ticket).first;
      if (!fails) {
        result = row->second;
      }
    }
    const RequestId request = claim->request;
    this->ScheduleAfter(
        this->RandomDuration(2, 20),
        [this, address = process.address, generation = process.generation, request, result] {
          this->RunInProcess(address, generation, [this, request, result](Process& same) {
            this->HandleEntry(same, KeyClaimed{request, result});
          });
        });
  } else if (const auto* start = std::get_if<SendStart>(&action)) {
    this->Call<StartReply>(
        process, start->address,
        [this, message = start->message](Process& to, RequestId request) {
          if (to.agent) this->HandleAgent(to, StartReceived{request, message});
        },
        [this, agent = start->message.agent, sequence = start->message.channel_sequence](
            Process& from, Result<StartReply> reply) {
          this->HandleEntry(from, StartReplied{agent, sequence, std::move(reply)});
        });
  } else if (const auto* withdraw = std::get_if<SendWithdraw>(&action)) {
    this->Call<WithdrawReply>(
        process, withdraw->address,
        [this, message = withdraw->message](Process& to, RequestId request) {
          if (to.agent) this->HandleAgent(to, WithdrawReceived{request, message});
        },
        [this, agent = withdraw->message.agent, items = withdraw->message.items](
            Process& from, Result<WithdrawReply> reply) {
          this->HandleEntry(from, WithdrawReplied{agent, items, std::move(reply)});
        });
  } else if (const auto* seal = std::get_if<SendSeal>(&action)) {
    this->Call<SealReply>(
        process, seal->address,
        [this, message = seal->message](Process& to, RequestId request) {
          if (to.agent) this->HandleAgent(to, SealReceived{request, message});
        },
        [this, agent = seal->agent, ticket = seal->message.ticket](Process& from,
                                                                   Result<SealReply> reply) {
          this->HandleEntry(from, SealReplied{agent, ticket, std::move(reply)});
        });
  } else if (const auto* notice = std::get_if<SendNotice>(&action)) {
    ++this->counts["notice"];
    this->Call<Heartbeat>(
        process, notice->address,
        [this, message = notice->message](Process& to, RequestId request) {
          if (to.agent) this->HandleAgent(to, NoticeReceived{request, message});
        },
        [this, sent = *notice](Process& from, Result<Heartbeat> reply) {
          this->HandleEntry(
              from, NoticeReplied{sent.agent, sent.message, sent.arrivals, std::move(reply)});
        });
  } else if (const auto* hello = std::get_if<SendHello>(&action)) {
    this->Call<Hello>(
        process, hello->address,
        [this, message = hello->message](Process& to, RequestId request) {
          if (to.entry) this->HandleEntry(to, HelloReceived{request, message});
        },
        [this, address = hello->address](Process& from, Result<Hello> reply) {
          this->HandleEntry(from, HelloReplied{address, std::move(reply)});
        });
  } else if (const auto* forward = std::get_if<SendForward>(&action)) {
    this->Call<ForwardReply>(
        process, forward->address,
        [this, message = forward->message](Process& to, RequestId request) {
          if (to.entry) this->HandleEntry(to, ForwardReceived{request, message});
        },
        [this, request = forward->message.request_id, to = forward->to](
            Process& from, Result<ForwardReply> reply) {
          this->HandleEntry(from, ForwardReplied{request, to, std::move(reply)});
        });
  } else if (const auto* sent = std::get_if<SendAnswer>(&action)) {
    this->Call<Acknowledgement>(
        process, sent->address,
        [this, message = sent->message](Process& to, RequestId request) {
          if (to.entry) this->HandleEntry(to, AnswerReceived{request, message});
        },
        [this, request = sent->message.request_id, to = sent->message.to](
            Process& from, Result<Acknowledgement> reply) {
          this->HandleEntry(from, AnswerReplied{to, request, std::move(reply)});
        });
  } else if (const auto* hand_over = std::get_if<SendHandOver>(&action)) {
    ++this->counts["hand_over"];
    this->Call<Acknowledgement>(
        process, hand_over->address,
        [this, message = hand_over->message](Process& to, RequestId request) {
          if (to.entry) this->HandleEntry(to, HandOverReceived{request, message});
        },
        [this, to = hand_over->to, service = hand_over->message.service](
            Process& from, Result<Acknowledgement> reply) {
          this->HandleEntry(from, HandOverReplied{to, service, std::move(reply)});
        });
  } else if (const auto* cancel = std::get_if<SendCancel>(&action)) {
    this->ScheduleAfter(this->NetworkDelay(), [this, address = cancel->address,
                                               ticket = cancel->message.ticket] {
      this->RunInProcess(address, this->processes[address].generation, [this, ticket](Process& to) {
        if (to.entry) this->HandleEntry(to, JobCancelled{this->next_request++, ticket});
      });
    });
  } else if (const auto* announced = std::get_if<ReplyAnnounce>(&action)) {
    this->DeliverReply(announced->request, announced->reply);
  } else if (const auto* outcomes = std::get_if<ReplyOutcomes>(&action)) {
    this->DeliverReply(outcomes->request, outcomes->reply);
  } else if (const auto* hello_reply = std::get_if<ReplyHello>(&action)) {
    this->DeliverReply(hello_reply->request, hello_reply->reply);
  } else if (const auto* taken = std::get_if<ReplyForward>(&action)) {
    this->DeliverReply(taken->request, taken->reply);
  } else if (const auto* acknowledged = std::get_if<ReplyAcknowledgement>(&action)) {
    this->DeliverReply(acknowledged->request, acknowledged->reply);
  } else if (const auto* log = std::get_if<LogEvent>(&action)) {
    ++this->counts[log->name];
  } else if (std::holds_alternative<Departed>(action)) {
    process.alive = false;
    this->ScheduleAfter(this->RandomDuration(10, 500),
                        [this, address = process.address] { this->StartProcess(address, true); });
  }
}

void Simulation::Perform(Process& process, const AgentAction& action) {
  const std::string address = process.address;
  const std::uint64_t generation = process.generation;
  const auto later = [&](Milliseconds delay, AgentEvent event) {
    this->ScheduleAfter(delay, [this, address, generation, event = std::move(event)] {
      this->RunInProcess(address, generation,
                         [this, event](Process& same) { this->HandleAgent(same, event); });
    });
  };
  if (const auto* started_reply = std::get_if<ReplyStart>(&action)) {
    this->DeliverReply(started_reply->request, started_reply->reply);
  } else if (const auto* withdrawn = std::get_if<ReplyWithdraw>(&action)) {
    this->DeliverReply(withdrawn->request, withdrawn->reply);
  } else if (const auto* sealed = std::get_if<ReplySeal>(&action)) {
    this->DeliverReply(sealed->request, sealed->reply);
  } else if (const auto* start = std::get_if<StartOnEndpoint>(&action)) {
    this->StartTask(process, *start);
  } else if (const auto* stop = std::get_if<StopOnEndpoint>(&action)) {
    Outcome outcome;
    outcome.task = stop->task;
    outcome.reason = "stopped";
    later(Milliseconds(1), EndpointFinished{stop->task, outcome});
  } else if (std::holds_alternative<CheckEndpoint>(action)) {
    later(Milliseconds(1), EndpointChecked{true});
  } else if (const auto* outcomes = std::get_if<SendOutcomes>(&action)) {
    std::vector<TaskKey> tasks;
    for (const Outcome& outcome : outcomes->message.outcomes) {
      tasks.push_back(outcome.task);
    }
    this->Call<OutcomesReply>(
        process, outcomes->address,
        [this, message = outcomes->message](Process& to, RequestId request) {
          if (to.entry) this->HandleEntry(to, OutcomesReceived{request, message});
        },
        [this, owner = outcomes->message.owner, tasks, sent = outcomes->sent](
            Process& from, Result<OutcomesReply> reply) {
          this->HandleAgent(from, OutcomesReplied{owner, tasks, std::move(reply), sent});
        });
  } else if (const auto* announce = std::get_if<SendAnnounce>(&action)) {
    this->Call<AnnounceReply>(
        process, announce->address,
        [this, message = announce->message](Process& to, RequestId request) {
          if (to.entry) this->HandleEntry(to, AgentAnnounced{request, message});
        },
        [this, to = announce->address, sent = announce->sent](Process& from,
                                                              Result<AnnounceReply> reply) {
          this->HandleAgent(from, AnnounceReplied{to, std::move(reply), sent});
        });
  } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
    ++this->counts["heartbeat"];
    this->Call<AnnounceReply>(
        process, heartbeat->address,
        [this, message = heartbeat->message](Process& to, RequestId request) {
          if (to.entry) this->HandleEntry(to, HeartbeatReceived{request, message});
        },
        [this, to = heartbeat->address, sent = heartbeat->sent](Process& from,
                                                                Result<AnnounceReply> reply) {
          this->HandleAgent(from, AnnounceReplied{to, std::move(reply), sent});
        });
  } else if (const auto* noticed = std::get_if<ReplyNotice>(&action)) {
    this->DeliverReply(noticed->request, noticed->reply);
  } else if (const auto* log = std::get_if<LogEvent>(&action)) {
    ++this->counts[log->name];
  } else if (std::holds_alternative<Departed>(action)) {
    process.alive = false;
    this->ScheduleAfter(this->RandomDuration(10, 500),
                        [this, address] { this->StartProcess(address, false); });
  }
}

void Simulation::StartTask(Process& process, const StartOnEndpoint& start) {
  if (this->Chance(0.01)) {
    this->ScheduleAfter(Milliseconds(1), [this, address = process.address,
                                          generation = process.generation, task = start.task] {
      this->RunInProcess(address, generation, [this, task](Process& same) {
        this->HandleAgent(same, EndpointRefused{task, "busy"});
      });
    });
    return;
  }
  ++this->counts["started"];
  const auto evacuated = this->evacuated_since.find(std::string("dc") + process.address.back());
  if (evacuated != this->evacuated_since.end()) {
    ++this->counts["started_during_evacuation"];
    if (this->now - evacuated->second > kEvacuationBound) {
      this->violations.push_back("start in an evacuated data centre: " + start.task.Text());
    }
  }
  if (!this->started.insert(start.task).second) {
    this->violations.push_back("task started twice: " + start.task.Text());
  }
  this->started_tickets.insert(start.task.ticket);
  if (this->not_run_tickets.contains(start.task.ticket)) {
    this->violations.push_back("task started after its job was answered not run: " +
                               start.task.Text());
  }
  Outcome outcome;
  outcome.task = start.task;
  outcome.ok = !this->Chance(this->settings.task_failure_probability);
  outcome.reason = outcome.ok ? "" : "endpoint_failed";
  outcome.result = ExpectedResult(start.task, start.payload);
  const Milliseconds run = this->RandomDuration(3, this->Chance(0.03) ? 900 : 50);
  outcome.run_time = run;
  if (outcome.ok) {
    this->successful_results[start.task] = outcome.result;
  }
  this->ScheduleAfter(run,
                      [this, address = process.address, generation = process.generation, outcome] {
                        this->RunInProcess(address, generation, [this, outcome](Process& same) {
                          this->HandleAgent(same, EndpointFinished{outcome.task, outcome});
                        });
                      });
}

void Simulation::OnAnswer(const AnswerCaller& answer) {
  const auto found = this->requests.find(answer.request);
  if (found == this->requests.end() || found->second.answered) {
    this->violations.push_back("request answered twice: " + std::to_string(answer.request));
    return;
  }
  found->second.answered = true;
  if (found->second.caller_gone) {
    return;
  }
  this->CheckAnswer(found->second, answer.answer);
  for (const Ticket& ticket : answer.answer.fresh_tickets) {
    this->tickets.push_back(ticket);
  }
}

void Simulation::CheckAnswer(const Request& request, const Answer& answer) {
  const Submission& submission = request.job_request->submission;
  const auto& ticket = answer.ticket;
  const char* names[] = {"complete", "failed_", "refused_"};
  std::string name = names[static_cast<int>(answer.status)];
  if (answer.status == AnswerStatus::kFailed) name += answer.reason;
  if (answer.status == AnswerStatus::kRefused) name += ErrorKindText(answer.error);
  ++this->counts[name + (answer.not_run ? "_not_run" : "")];
  if (answer.not_run && ticket) {
    this->not_run_tickets.insert(*ticket);
    if (this->started_tickets.contains(*ticket)) {
      this->violations.push_back(name + " answer says not run, but it ran: " + ticket->Text());
    }
  }
  if (answer.status != AnswerStatus::kComplete) {
    if (!answer.results.empty()) this->violations.push_back("results in a failed answer");
    return;
  }
  if (!ticket || answer.results.size() != submission.tasks.size()) {
    this->violations.push_back("complete answer without every result");
    return;
  }
  for (std::uint32_t i = 0; i < submission.tasks.size(); ++i) {
    const TaskKey task{*ticket, i};
    if (answer.results[i] != ExpectedResult(task, submission.tasks[i].payload) ||
        this->successful_results[task] != answer.results[i]) {
      this->violations.push_back("wrong result of " + task.Text());
    }
  }
}

std::string Simulation::RandomEntry() {
  return "entry" + std::to_string(this->random() % this->settings.entries);
}

std::string Simulation::RandomAgent() {
  return "agent" + std::to_string(this->random() % this->settings.agents);
}

void Simulation::SubmitTo(const std::string& address,
                          const std::shared_ptr<JobRequest>& job_request) {
  Process& process = this->processes[address];
  if (!process.alive) {
    return;
  }
  const RequestId id = this->next_request++;
  this->requests[id] = {address, process.generation, job_request, false, false};
  ++job_request->attempts;
  this->RunInProcess(address, process.generation, [this, id, job_request](Process& to) {
    if (!this->requests[id].caller_gone) {
      this->HandleEntry(to, JobSubmitted{id, job_request->submission});
    }
  });
  const Milliseconds caller_timeout = this->RandomDuration(5, 4000);
  this->ScheduleAfter(caller_timeout, [this, id, job_request] {
    Request& request = this->requests[id];
    const bool connection_lost = !this->processes[request.process].alive ||
                                 this->processes[request.process].generation != request.generation;
    if (!request.answered && (connection_lost || this->Chance(0.5))) {
      request.caller_gone = true;
      this->ResubmitJob(job_request);
    } else if (this->Chance(0.1)) {
      this->ResubmitJob(job_request);
    }
  });
}

void Simulation::ResubmitJob(std::shared_ptr<JobRequest> job_request) {
  if (job_request->attempts >= 4 || !this->faulty) {
    return;
  }
  if (this->Chance(0.03)) {
    auto other = std::make_shared<JobRequest>(*job_request);
    other->submission.body_hash += 1;
    other->attempts = 4;
    this->SubmitTo(this->RandomEntry(), other);
  }
  if (this->Chance(0.1) && job_request->submission.ticket) {
    const std::string address = this->RandomEntry();
    this->RunInProcess(address, this->processes[address].generation,
                       [this, ticket = *job_request->submission.ticket](Process& to) {
                         this->HandleEntry(to, JobCancelled{this->next_request++, ticket});
                       });
  }
  this->SubmitTo(this->RandomEntry(), job_request);
}

void Simulation::SubmitNewJob() {
  const std::string address = this->RandomEntry();
  Process& process = this->processes[address];
  this->RunInProcess(address, process.generation, [this](Process& to) {
    this->HandleEntry(to, TicketsRequested{this->next_request++, kService, 1});
  });
  auto job_request = std::make_shared<JobRequest>();
  Submission& submission = job_request->submission;
  submission.service = kService;
  submission.kind = this->Chance(0.5) ? "quote" : "check";
  submission.deadline =
      this->Chance(0.2) ? this->RandomDuration(10, 300) : this->RandomDuration(300, 3000);
  const std::uint64_t number = this->next_job++;
  submission.body_hash = number * 10;
  const int count = this->RandomDuration(1, 6).count();
  for (int i = 0; i < count; ++i) {
    TaskSpec task;
    task.payload = std::to_string(number) + "." + std::to_string(i);
    // A worker has 16 cores, so two of the large tasks do not fit at the same time.
    task.cores = number % 5 == 0 ? 10 : 1;
    submission.tasks.push_back(task);
  }
  if (this->Chance(0.1)) {
    submission.key = "key" + std::to_string(number);
  } else if (!this->tickets.empty()) {
    // Callers mostly use recently issued tickets.
    constexpr std::size_t kKept = 50;
    if (this->tickets.size() > kKept) {
      this->tickets.erase(this->tickets.begin(), this->tickets.end() - kKept);
    }
    std::swap(this->tickets[this->random() % this->tickets.size()], this->tickets.back());
    submission.ticket = this->tickets.back();
    this->tickets.pop_back();
  } else {
    return;
  }
  this->SubmitTo(this->Chance(0.7) ? address : this->RandomEntry(), job_request);
}

void Simulation::InjectFault() {
  const bool fault_at_entry = this->Chance(0.4);
  const std::string address = fault_at_entry ? this->RandomEntry() : this->RandomAgent();
  Process& process = this->processes[address];
  const int fault_kind = static_cast<int>(this->random() % 10);
  if (!process.alive) {
    return;
  }
  if (fault_kind < 2) {
    ++this->counts["killed"];
    process.alive = false;
    this->ScheduleAfter(this->RandomDuration(10, 6000), [this, address, fault_at_entry] {
      this->StartProcess(address, fault_at_entry);
    });
  } else if (fault_kind < 5) {
    ++this->counts["frozen"];
    process.frozen_until = this->now + this->RandomDuration(50, 6000);
  } else if (fault_kind < 6) {
    if (!std::exchange(process.leaving, true)) {
      ++this->counts["left"];
      this->RunInProcess(address, process.generation, [this](Process& to) {
        if (to.entry) {
          this->HandleEntry(to, LeaveRequested{});
        } else {
          this->HandleAgent(to, LeaveRequested{});
        }
      });
    }
  } else {
    const std::string other = this->Chance(0.5) ? this->RandomEntry() : this->RandomAgent();
    this->blocked_links.insert({address, other});
    if (this->Chance(0.5)) this->blocked_links.insert({other, address});
    this->ScheduleAfter(this->RandomDuration(50, 4000), [this, address, other] {
      this->blocked_links.erase({address, other});
      this->blocked_links.erase({other, address});
    });
  }
}

void Simulation::ReadEvacuations(const Process& process) {
  const Time time =
      std::max(this->now + this->RandomDuration(0, kPollMs), process.cut_from_store_until);
  this->ScheduleAt(time, [this, address = process.address, generation = process.generation] {
    this->RunInProcess(address, generation, [this](Process& entry) {
      if (entry.cut_from_store_until > this->now) {
        this->ReadEvacuations(entry);
        return;
      }
      EvacuationSet read{this->store_version, {}};
      for (const auto& [name, since] : this->evacuated_since) {
        read.data_centres.push_back(name);
      }
      this->HandleEntry(entry, EvacuationsRead{std::move(read)});
      // An entry has no configuration before it has read the table, which contains it.
      this->HandleEntry(entry, ConfigurationChanged{this->configuration});
    });
  });
}

void Simulation::ChangeEvacuation() {
  const std::string name = "dc" + std::to_string(this->random() % 3);
  ++this->store_version;
  ++this->counts["evacuation_changed"];
  if (this->evacuated_since.erase(name) == 0) {
    this->evacuated_since[name] = this->now;
  }
  for (auto& [address, process] : this->processes) {
    if (process.entry && process.alive) {
      this->ReadEvacuations(process);
    }
  }
  // If no entry reaches the store, none can learn of the row, and no bound holds.
  const std::string cut = this->RandomEntry();
  const bool another_reads = std::ranges::any_of(this->processes, [&](const auto& element) {
    return element.second.entry && element.first != cut &&
           element.second.cut_from_store_until <= this->now;
  });
  if (another_reads && this->Chance(0.7)) {
    ++this->counts["cut_from_store"];
    const Time until = this->now + this->RandomDuration(1000, 30000);
    this->processes[cut].cut_from_store_until = until;
    if (this->Chance(0.5)) {
      // Only the agents can tell it.
      this->SetPeerLinks(cut, false);
      this->ScheduleAt(until, [this, cut] { this->SetPeerLinks(cut, true); });
    }
  }
  if (this->Chance(0.5)) {
    const std::pair link(this->RandomEntry(), this->RandomAgent());
    this->blocked_links.insert(link);
    this->ScheduleAfter(this->RandomDuration(50, 4000),
                        [this, link] { this->blocked_links.erase(link); });
  }
  if (this->Chance(0.5)) {
    const bool is_entry = this->Chance(0.3);
    const std::string address = is_entry ? this->RandomEntry() : this->RandomAgent();
    this->ScheduleAfter(this->RandomDuration(0, 6000),
                        [this, address, is_entry] { this->Replace(address, is_entry); });
  }
}

void Simulation::SetPeerLinks(const std::string& entry, bool open) {
  for (int i = 0; i < this->settings.entries; ++i) {
    const std::string peer = "entry" + std::to_string(i);
    for (const auto& link : {std::pair(entry, peer), std::pair(peer, entry)}) {
      if (open) {
        this->blocked_links.erase(link);
      } else {
        this->blocked_links.insert(link);
      }
    }
  }
}

void Simulation::Replace(const std::string& address, bool is_entry) {
  if (!std::exchange(this->processes[address].alive, false)) {
    return;
  }
  ++this->counts["replaced"];
  this->ScheduleAfter(this->RandomDuration(10, 2000),
                      [this, address, is_entry] { this->StartProcess(address, is_entry); });
}

void Simulation::Run(Milliseconds faulty_time, Milliseconds quiet) {
  const Time faulty_end = this->now + faulty_time;
  const Time end = faulty_end + quiet;
  std::function<void()> job = [&] {
    if (this->now < faulty_end) {
      this->SubmitNewJob();
      this->ScheduleAfter(this->settings.job_interval, job);
    }
  };
  std::function<void()> fault = [&] {
    if (this->now < faulty_end) {
      this->InjectFault();
      this->ScheduleAfter(
          this->RandomDuration(1, 2 * static_cast<int>(this->settings.mean_fault_interval.count())),
          fault);
    }
  };
  std::function<void()> evacuation = [&] {
    if (this->now < faulty_end) {
      this->ChangeEvacuation();
      this->ScheduleAfter(this->RandomDuration(1000, 15000), evacuation);
    }
  };
  this->ScheduleAfter(Milliseconds(500), job);
  if (this->settings.evacuations) {
    this->ScheduleAfter(Milliseconds(3000), evacuation);
  }
  if (this->settings.mean_fault_interval.count() > 0) {
    this->ScheduleAfter(Milliseconds(500), fault);
  }
  while (!this->schedule.empty() && this->schedule.top().time < end &&
         this->violations.size() < 20) {
    const ScheduledAction step = this->schedule.top();
    this->schedule.pop();
    this->now = step.time;
    if (this->now >= faulty_end) {
      this->faulty = false;
    }
    step.action();
  }
}

void Simulation::CheckSettled() {
  for (const auto& [id, request] : this->requests) {
    const Process& process = this->processes[request.process];
    if (!request.answered && !request.caller_gone && process.alive &&
        process.generation == request.generation) {
      this->violations.push_back("request without an answer: " + std::to_string(id) + " at " +
                                 request.process);
    }
  }
  for (const auto& [address, process] : this->processes) {
    if (!process.alive || !process.entry) {
      continue;
    }
    if (process.leaving) {
      this->violations.push_back(address + " has not ended its departure");
    }
    for (const ServiceStatus& service : process.entry->Status(this->now).services) {
      if (service.jobs_in_progress != 0 || service.queued_tasks != 0) {
        this->violations.push_back(address + " has jobs left");
      }
      for (const AgentStatus& agent : service.agents) {
        if (agent.outstanding != 0) {
          this->violations.push_back(address + " counts tasks at " + agent.name);
        }
      }
    }
  }
}

}  // namespace quetzalvale
