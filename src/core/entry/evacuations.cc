#include "core/entry/evacuations.h"

#include <utility>

namespace quetzalvale {

bool Evacuations::Update(const EvacuationSet& read) {
  if (read.version < this->version) {
    return false;
  }
  std::set<std::string, std::less<>> updated(read.data_centres.begin(), read.data_centres.end());
  if (read.version == this->version) {
    updated.insert(this->data_centres.begin(), this->data_centres.end());
  }
  this->version = read.version;
  const bool changed = updated != this->data_centres;
  this->revoked.merge(this->data_centres);
  for (const std::string& name : updated) {
    this->revoked.erase(name);
  }
  this->data_centres = std::move(updated);
  return changed;
}

bool Evacuations::Forbids(std::string_view data_centre, const AgentLoad& load) const {
  return load.evacuated ||
         (this->Contains(data_centre) && this->version >= load.evacuation_version);
}

bool Evacuations::IsNewsFor(std::string_view data_centre, const AgentLoad& load) const {
  const bool evacuated = this->Contains(data_centre);
  return evacuated != load.evacuated && (this->version > load.evacuation_version ||
                                         (this->version == load.evacuation_version && evacuated));
}

EvacuationSet Evacuations::Current() const {
  return {this->version, {this->data_centres.begin(), this->data_centres.end()}};
}

std::string Evacuations::Text() const {
  std::string text;
  for (const std::string& name : this->data_centres) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text.empty() ? "none" : text;
}

}  // namespace quetzalvale
