#include "core/entry_core.h"

#include <utility>

namespace quetzalvale {

EntryCore::EntryCore(EntryInfo self, std::vector<std::string> services,
                     std::vector<std::string> seed_addresses, std::uint64_t seed)
    : self(std::move(self)),
      services(std::move(services)),
      seed_addresses(std::move(seed_addresses)),
      random(seed) {}

std::vector<EntryAction> EntryCore::Handle(Time /*now*/, const EntryEvent& event) {
  this->actions.clear();
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  return std::move(this->actions);
}

void EntryCore::On(const JobSubmitted& event) {
  const auto& submission = event.submission;
  if (this->agents.empty() || !submission.ticket) {
    Answer answer;
    answer.error = ErrorKind::kNotReady;
    answer.message = "no agent has announced itself; submit again later";
    answer.not_run = true;
    this->actions.emplace_back(AnswerCaller{event.request, std::move(answer)});
    return;
  }
  const auto& [incarnation, agent] = *this->agents.begin();
  StartRequest start{.owner = this->self.incarnation,
                     .owner_address = this->self.address,
                     .agent = incarnation,
                     .channel_sequence = this->next_channel_sequence++,
                     .lease = Milliseconds(3000)};
  for (std::uint32_t index = 0; index < submission.tasks.size(); ++index) {
    start.items.push_back({{*submission.ticket, index},
                           submission.kind,
                           submission.tasks[index],
                           Milliseconds(10000)});
  }
  this->jobs[*submission.ticket] = {event.request, submission,
                                    std::vector<std::string>(submission.tasks.size()),
                                    submission.tasks.size()};
  this->counters.tasks_started += start.items.size();
  this->actions.emplace_back(SendStart{agent.address, std::move(start)});
}

void EntryCore::On(const TicketsRequested& event) {
  std::vector<Ticket> tickets;
  for (std::uint32_t i = 0; i < event.count; ++i) {
    tickets.push_back({event.service, this->self.incarnation, this->next_sequence++, 1});
  }
  this->actions.emplace_back(GrantTickets{event.request, std::move(tickets)});
}

void EntryCore::On(const AgentAnnounced& event) {
  this->agents[event.announce.agent] = event.announce;
  this->actions.emplace_back(ReplyAnnounce{event.request, {this->self, {this->self}, 0}});
}

void EntryCore::On(const StartReplied& event) {
  if (const auto* reply = std::get_if<StartReply>(&event.reply)) {
    for (const auto& outcome : reply->outcomes) {
      this->Settle(outcome);
    }
  }
}

void EntryCore::On(const OutcomesReceived& event) {
  for (const auto& outcome : event.message.outcomes) {
    this->Settle(outcome);
  }
  this->actions.emplace_back(ReplyOutcomes{event.request, {this->self.incarnation, 0}});
}

void EntryCore::On(const HelloReceived& event) {
  Hello reply;
  reply.entry = this->self;
  this->actions.emplace_back(ReplyHello{event.request, std::move(reply)});
}

void EntryCore::On(const ConfigurationChanged& event) {
  this->configurations[event.configuration->service] = event.configuration;
}

void EntryCore::On(const LeaveRequested& /*event*/) {
  this->leaving = true;
  this->actions.emplace_back(Departed{});
}

void EntryCore::Settle(const Outcome& outcome) {
  const auto found = this->jobs.find(outcome.task.ticket);
  if (found == this->jobs.end()) {
    return;
  }
  Job& job = found->second;
  job.results[outcome.task.index] = outcome.result;
  if (--job.open > 0) {
    return;
  }
  Answer answer;
  answer.status = AnswerStatus::kComplete;
  answer.ticket = outcome.task.ticket;
  answer.results = std::move(job.results);
  ++this->counters.jobs_complete;
  this->actions.emplace_back(AnswerCaller{job.request, std::move(answer)});
  this->jobs.erase(found);
}

EntryStatus EntryCore::Status(Time /*now*/) const {
  EntryStatus status;
  status.self = this->self;
  status.leaving = this->leaving;
  status.counters = this->counters;
  for (const auto& service : this->services) {
    ServiceStatus entry;
    entry.service = service;
    const auto found = this->configurations.find(service);
    entry.configuration_version = found == this->configurations.end() ? 0 : found->second->version;
    status.services.push_back(std::move(entry));
  }
  return status;
}

void EntryCore::SetPlacement(PlacementHook hook) { this->placement = std::move(hook); }

}  // namespace quetzalvale
