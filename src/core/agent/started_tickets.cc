#include "core/agent/started_tickets.h"

#include <algorithm>

namespace quetzalvale {

void StartedTickets::Record(const TaskKey& task) {
  if (this->IsBelowWatermark(task.ticket)) {
    return;
  }
  Owner& owner = this->owners[task.ticket.owner];
  if (!owner.tickets[task.ticket.sequence].insert(task.index).second) {
    return;
  }
  ++owner.tasks;
  ++this->tasks;
  while (this->tasks > this->max_tasks) {
    this->RaiseWatermarkOfLargestOwner();
  }
}

void StartedTickets::Forget(const TaskKey& task) {
  const auto owner = this->owners.find(task.ticket.owner);
  if (owner == this->owners.end()) {
    return;
  }
  const auto ticket = owner->second.tickets.find(task.ticket.sequence);
  if (ticket == owner->second.tickets.end() || ticket->second.erase(task.index) == 0) {
    return;
  }
  if (ticket->second.empty()) {
    owner->second.tickets.erase(ticket);
  }
  --owner->second.tasks;
  --this->tasks;
}

StartedStatus StartedTickets::Query(const TaskKey& task) const {
  if (this->IsBelowWatermark(task.ticket)) {
    return StartedStatus::kMaybe;
  }
  const Indices* indices = this->IndicesOf(task.ticket);
  const bool started = indices != nullptr && indices->contains(task.index);
  return started ? StartedStatus::kStarted : StartedStatus::kNever;
}

std::size_t StartedTickets::CountOf(const Ticket& ticket) const {
  const Indices* indices = this->IndicesOf(ticket);
  return indices == nullptr ? 0 : indices->size();
}

bool StartedTickets::IsBelowWatermark(const Ticket& ticket) const {
  const auto owner = this->owners.find(ticket.owner);
  return owner != this->owners.end() &&
         (owner->second.closed || ticket.sequence < owner->second.watermark);
}

void StartedTickets::CloseOwner(const Incarnation& owner) {
  Owner& closing = this->owners[owner];
  this->tasks -= closing.tasks;
  closing = Owner();
  closing.closed = true;
}

const StartedTickets::Indices* StartedTickets::IndicesOf(const Ticket& ticket) const {
  const auto owner = this->owners.find(ticket.owner);
  if (owner == this->owners.end()) {
    return nullptr;
  }
  const auto found = owner->second.tickets.find(ticket.sequence);
  return found == owner->second.tickets.end() ? nullptr : &found->second;
}

void StartedTickets::RaiseWatermarkOfLargestOwner() {
  const auto largest = std::max_element(
      this->owners.begin(), this->owners.end(),
      [](const auto& a, const auto& b) { return a.second.tasks < b.second.tasks; });
  Owner& owner = largest->second;
  const auto lowest = owner.tickets.begin();
  owner.watermark = lowest->first + 1;
  owner.tasks -= lowest->second.size();
  this->tasks -= lowest->second.size();
  owner.tickets.erase(lowest);
}

}  // namespace quetzalvale
