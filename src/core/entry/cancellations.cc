#include "core/entry/cancellations.h"

namespace quetzalvale {

void Cancellations::Add(const std::string& name, bool own, Time now) {
  this->records.push_back({name, own ? ++this->last_number : 0, now});
  ++this->names[name];
  if (this->records.size() > kMaxCount) {
    this->DropOldest();
  }
}

std::optional<Cancellations::Batch> Cancellations::TakeDue(const Incarnation& peer, Time now) {
  Progress& progress = this->peers[peer];
  if (progress.confirmed == this->last_number || progress.in_flight || now < progress.next) {
    return std::nullopt;
  }
  Batch batch;
  batch.last = progress.confirmed;
  for (const Record& record : this->records) {
    if (record.number > progress.confirmed && batch.names.size() < kMaxNames) {
      batch.names.push_back(record.name);
      batch.last = record.number;
    }
  }
  progress.next = now + kInterval;
  if (batch.names.empty()) {
    // All of them were forgotten.
    progress.confirmed = this->last_number;
    return std::nullopt;
  }
  progress.in_flight = true;
  return batch;
}

void Cancellations::OnReplied(const Incarnation& peer, std::uint64_t last, bool confirmed) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return;
  }
  found->second.in_flight = false;
  if (confirmed) {
    found->second.confirmed = last;
  }
}

void Cancellations::Expire(Time now) {
  while (!this->records.empty() && this->records.front().added + kMaxAge <= now) {
    this->DropOldest();
  }
}

void Cancellations::DropOldest() {
  const auto found = this->names.find(this->records.front().name);
  if (--found->second == 0) {
    this->names.erase(found);
  }
  this->records.pop_front();
}

}  // namespace quetzalvale
