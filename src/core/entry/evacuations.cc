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
  std::erase_if(this->reported,
                [&](const auto& element) { return element.second.version < read.version; });
  const bool changed = updated != this->data_centres;
  this->revoked.merge(this->data_centres);
  for (const std::string& name : updated) {
    this->revoked.erase(name);
  }
  this->data_centres = std::move(updated);
  return changed;
}

void Evacuations::Learn(const std::string& data_centre, const AgentLoad& load) {
  const State known = this->StateOf(data_centre);
  if (load.evacuation_version > known.version ||
      (load.evacuation_version == known.version && load.evacuated && !known.evacuated)) {
    this->reported[data_centre] = {load.evacuation_version, load.evacuated};
  }
}

Evacuations::State Evacuations::StateOf(std::string_view data_centre) const {
  const State known{this->version, this->data_centres.contains(data_centre)};
  const auto found = this->reported.find(data_centre);
  if (found == this->reported.end() || found->second.version < known.version) {
    return known;
  }
  const bool merged = found->second.version == known.version && known.evacuated;
  return {found->second.version, found->second.evacuated || merged};
}

bool Evacuations::Forbids(std::string_view data_centre, const AgentLoad& load) const {
  const State known = this->StateOf(data_centre);
  return load.evacuated || (known.evacuated && known.version >= load.evacuation_version);
}

bool Evacuations::IsNewsFor(std::string_view data_centre, const AgentLoad& load) const {
  const State known = this->StateOf(data_centre);
  return known.evacuated != load.evacuated &&
         (known.version > load.evacuation_version ||
          (known.version == load.evacuation_version && known.evacuated));
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
