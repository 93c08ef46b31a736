#include "core/agent/sealed_tickets.h"

#include <algorithm>

namespace quetzalvale {

void SealedTickets::Seal(const Ticket& ticket) {
  if (this->IsSealed(ticket)) {
    return;
  }
  if (!this->owners.contains(ticket.owner) && this->owners.size() >= this->limits.owners) {
    this->all_sealed = true;
    return;
  }
  Owner& owner = this->owners[ticket.owner];
  owner.sequences.insert(ticket.sequence);
  ++this->tickets;
  if (owner.sequences.size() > this->limits.tickets_per_owner) {
    this->SealAllTickets(owner);
  }
  while (this->tickets > this->limits.tickets) {
    this->SealLargestOwner();
  }
}

bool SealedTickets::IsSealed(const Ticket& ticket) const {
  if (this->all_sealed) {
    return true;
  }
  const auto owner = this->owners.find(ticket.owner);
  return owner != this->owners.end() &&
         (owner->second.all_tickets_sealed || owner->second.sequences.contains(ticket.sequence));
}

void SealedTickets::SealAllTickets(Owner& owner) {
  this->tickets -= owner.sequences.size();
  owner.sequences.clear();
  owner.all_tickets_sealed = true;
}

void SealedTickets::SealLargestOwner() {
  const auto largest =
      std::max_element(this->owners.begin(), this->owners.end(), [](const auto& a, const auto& b) {
        return a.second.sequences.size() < b.second.sequences.size();
      });
  this->SealAllTickets(largest->second);
}

}  // namespace quetzalvale
