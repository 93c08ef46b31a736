// Announcement, departure and loss of agents.
#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "core/entry/entry_core.h"

namespace quetzalvale {

void EntryCore::On(const AgentAnnounced& event) {
  ++this->counters.announcements_received;
  const Announce& announce = event.announce;
  this->evacuations.Learn(announce.data_centre, announce.load);
  ServiceState* service = this->FindService(announce.service);
  Agent* agent = nullptr;
  if (service != nullptr) {
    if (const auto replaced = this->directory.FindReplaced(announce)) {
      this->RemoveAgent(*replaced, true);
    }
    const Agent* before = this->directory.Find(announce.agent);
    const bool was_leaving = before != nullptr && before->leaving;
    agent = this->directory.AddOrUpdate(announce, this->now);
    if (agent != nullptr) {
      service->SetEndpoint(announce.name, announce.endpoint_incarnation);
    }
    if (agent != nullptr && (before == nullptr || agent->leaving != was_leaving)) {
      service->members_changed = true;
      service->jobs_at_risk = true;
      this->Log(agent->leaving ? 1005 : 1004, agent->leaving ? "agent_leaving" : "agent_added",
                "agent=" + announce.name + " incarnation=" + announce.agent.Text());
    }
  }
  if (agent == nullptr) {
    ++this->counters.announcements_unrecorded;
    this->Log(1007, "agent_not_recorded",
              "agent=" + announce.name + " incarnation=" + announce.agent.Text() +
                  " service=" + announce.service + " reason=" +
                  (service == nullptr                            ? "no_configuration"
                   : this->directory.WasReplaced(announce.agent) ? "replaced"
                                                                 : "too_many_agents"));
  }
  // Must precede the reply, which tells the agent whether it is a member.
  this->UpdateMembers();
  AnnounceReply reply = this->MakeAnnounceReply(service, agent, 0);
  if (agent == nullptr) {
    reply.known = false;
    this->AddEvacuation(announce.data_centre, reply);
  }
  this->Emit(ReplyAnnounce{event.request, std::move(reply)});
}

void EntryCore::On(const HeartbeatReceived& event) {
  ++this->counters.announcements_received;
  const Heartbeat& heartbeat = event.message;
  Agent* agent = this->directory.Find(heartbeat.agent);
  if (agent == nullptr) {
    AnnounceReply reply = this->MakeAnnounceReply(nullptr, nullptr, heartbeat.entries_digest);
    reply.known = false;
    this->Emit(ReplyAnnounce{event.request, std::move(reply)});
    return;
  }
  this->RecordLoad(heartbeat.agent, heartbeat.load);
  this->Emit(ReplyAnnounce{
      event.request, this->MakeAnnounceReply(this->FindService(agent->announce.service), agent,
                                             heartbeat.entries_digest)});
}

Milliseconds EntryCore::HeartbeatInterval(const Agent& agent) const {
  const auto& health = this->FindService(agent.announce.service)->configuration->health;
  if (!agent.outstanding.empty()) {
    return health.heartbeat;
  }
  // The agent acts on what it was last told, which may differ from its current membership.
  return agent.notified_member ? health.idle_heartbeat : health.distant_heartbeat;
}

Time::duration EntryCore::ScaleThreshold(const Agent& agent, Milliseconds threshold) const {
  const auto& health = this->FindService(agent.announce.service)->configuration->health;
  return threshold * this->HeartbeatInterval(agent).count() / health.heartbeat.count();
}

bool EntryCore::NeedsLivenessCheck(const Agent& agent) const {
  const ServiceState* service = this->FindService(agent.announce.service);
  return this->now - agent.last_heard >= service->configuration->health.agent_lost;
}

bool EntryCore::IsLost(const Agent& agent) const {
  const ServiceState* service = this->FindService(agent.announce.service);
  const Milliseconds agent_lost = service->configuration->health.agent_lost;
  // An idle agent may be silent between its heartbeats, but has to answer a liveness check.
  const bool leaves_unanswered =
      agent.reply_awaited_since &&
      this->now - std::max(agent.last_heard, *agent.reply_awaited_since) >= agent_lost;
  return leaves_unanswered ||
         this->SilenceDuration(agent) >= this->ScaleThreshold(agent, agent_lost);
}

Time::duration EntryCore::SilenceDuration(const Agent& agent) const {
  const bool active = !agent.outstanding.empty();
  return this->now - (active ? std::max(agent.last_heard, agent.active_since) : agent.last_heard);
}

void EntryCore::RemoveDeadAgents() {
  std::vector<Incarnation> gone;
  for (auto& [incarnation, agent] : this->directory.Agents()) {
    ServiceState* service = this->FindService(agent.announce.service);
    if (agent.leaving && agent.member) {
      service->members_changed = true;
      service->jobs_at_risk = true;
    }
    const auto& health = service->configuration->health;
    const auto silent = this->SilenceDuration(agent);
    const bool has_left = agent.leaving && agent.outstanding.empty() && silent >= health.agent_lost;
    // An agent that hears this entry's starts continues its runs even if none of its messages
    // arrive here. Without a new start it ends them well within agent_dead.
    const bool may_be_running =
        !agent.outstanding.empty() && this->now - agent.last_start_sent < health.agent_dead;
    const bool is_dead =
        silent >= this->ScaleThreshold(agent, health.agent_dead) && !may_be_running;
    if (this->now >= this->grace_until && (is_dead || has_left)) {
      gone.push_back(incarnation);
    }
  }
  for (const Incarnation& agent : gone) {
    this->RemoveAgent(agent, false);
  }
}

void EntryCore::RemoveAgent(Incarnation incarnation, bool replaced) {
  Agent* agent = this->directory.Find(incarnation);
  if (agent == nullptr) {
    return;
  }
  ServiceState& service = *this->FindService(agent->announce.service);
  const std::string name = agent->announce.name;
  std::set<std::uint64_t> lost_jobs;
  const auto outstanding = agent->outstanding;
  for (const auto& [ref, expected] : outstanding) {
    Job& job = *this->jobs.Find(ref.job);
    Task& task = job.tasks[ref.index];
    if (task.state == JobTaskState::kBatched) {
      // The start was not sent, so the task does not count as refused.
      this->ReturnBatched(*agent, ref);
    } else if (this->MayRerun(job, task, {})) {
      // Safe to run again: the agent was replaced, or it has been silent for so long that its
      // worker's leases have lapsed and every run there has ended.
      task.failed_on.push_back(incarnation);
      this->QueueRerun(job, ref.index);
    } else {
      this->EndTask(job, ref.index, JobTaskState::kUnknown);
      lost_jobs.insert(ref.job);
    }
  }
  this->directory.Remove(incarnation, replaced, this->now);
  service.members_changed = true;
  service.jobs_at_risk = true;
  const bool other_incarnation = std::ranges::any_of(
      this->directory.Agents(),
      [&](const auto& element) { return element.second.announce.name == name; });
  if (!replaced && !other_incarnation) {
    service.ForgetEndpoint(name);
  }
  this->Log(1006, "agent_removed",
            "agent=" + name + " incarnation=" + incarnation.Text() +
                " replaced=" + (replaced ? "true" : "false") +
                " unknown_tasks=" + std::to_string(lost_jobs.size()));
  for (const std::uint64_t id : lost_jobs) {
    if (Job* job = this->jobs.Find(id)) {
      this->FailJob(*job, "outcome_unknown",
                    "the agent of endpoint \"" + name +
                        "\" was lost with tasks of the job; check what they did before submitting "
                        "the work again under a new ticket",
                    false);
    }
  }
}

void EntryCore::ReturnBatched(Agent& agent, const TaskRef& ref) {
  Job& job = *this->jobs.Find(ref.job);
  Task& task = job.tasks[ref.index];
  this->batcher.Remove(task.agent, ref);
  agent.unreported.Remove(DeclaredBy(task.spec), task.joins_queue);
  agent.outstanding.erase(ref);
  task.state = JobTaskState::kWaiting;
  task.agent = {};
  QueueTask(*this->FindService(job.ticket.service), job, ref.index);
}

bool EntryCore::TakesStarts(const Agent& agent) const {
  return agent.member && !agent.leaving && !this->IsEvacuated(agent);
}

void EntryCore::UpdateMembers() {
  for (auto& [name, service] : this->services) {
    if (service.IsConfigured() && std::exchange(service.members_changed, false)) {
      this->directory.UpdateMembers(name, service.configuration->subset_size);
    }
  }
}

}  // namespace quetzalvale
