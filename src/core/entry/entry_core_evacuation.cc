// Evacuation of data centres: nothing new starts on their workers.
#include <algorithm>
#include <string>
#include <string_view>

#include "core/entry/entry_core.h"

namespace quetzalvale {

void EntryCore::On(const EvacuationsRead& event) {
  if (this->ApplyEvacuations(event.evacuations, "store")) {
    // Entries that are cut off from the store learn it from this one.
    this->peers.RequestHelloToAll();
    this->SendHellos();
  }
}

bool EntryCore::ApplyEvacuations(const EvacuationSet& read, std::string_view source) {
  if (!this->evacuations.Update(read)) {
    return false;
  }
  this->Log(1050, "evacuations_changed",
            "version=" + std::to_string(this->evacuations.Version()) +
                " data_centres=" + this->evacuations.Text() + " source=" + std::string(source));
  this->next_notices = this->now;
  for (auto& [name, service] : this->services) {
    service.jobs_at_risk = true;
  }
  for (auto& [incarnation, agent] : this->directory.Agents()) {
    if (this->IsEvacuated(agent)) {
      this->TakeBackTasks(agent);
    }
  }
  return true;
}

bool EntryCore::IsEvacuated(const Agent& agent) const {
  return this->evacuations.Forbids(agent.announce.data_centre, agent.announce.load);
}

void EntryCore::TakeBackTasks(Agent& agent) {
  std::size_t withdrawn = 0;
  const auto outstanding = agent.outstanding;
  for (const auto& [ref, expected] : outstanding) {
    const Task& task = this->jobs.Find(ref.job)->tasks[ref.index];
    if (task.state == JobTaskState::kBatched) {
      this->ReturnBatched(agent, ref);
    } else if (!task.runs) {
      this->Withdraw(ref, false);
      ++withdrawn;
    }
  }
  if (withdrawn > 0) {
    this->Log(1051, "tasks_withdrawn",
              "agent=" + agent.announce.name + " data_centre=" + agent.announce.data_centre +
                  " tasks=" + std::to_string(withdrawn));
  }
}

void EntryCore::AddEvacuation(std::string_view data_centre, AnnounceReply& reply) const {
  const Evacuations::State known = this->evacuations.StateOf(data_centre);
  reply.evacuation_version = known.version;
  reply.evacuated = known.evacuated;
}

}  // namespace quetzalvale
