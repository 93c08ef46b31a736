/// The evacuated data centres as far as an entry knows them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/messages.h"

namespace quetzalvale {

/// Keeps the newest set of evacuated data centres. Sets come from the store and from other entries;
/// the one with the highest version counts. Not thread-safe.
class Evacuations {
 public:
  /// Takes over a set that is newer than the present one. Returns whether a data centre was added
  /// or removed. Sets of equal version are merged: a read of several pages may already contain
  /// rows that are newer than the version it names.
  bool Update(const EvacuationSet& read);

  /// Records what an agent of the data centre was told. An entry that is cut off from the store and
  /// from other entries learns from it, also for other agents there and for one that restarts.
  void Learn(const std::string& data_centre, const AgentLoad& load);

  struct State {
    std::uint64_t version = 0;
    bool evacuated = false;
  };
  /// Returns the newest that is known of the data centre.
  State StateOf(std::string_view data_centre) const;

  /// Whether nothing may start on an agent of this data centre that reports the given load. An
  /// agent may have been told of a newer version by another entry. One that has not heard of the
  /// revocation yet still refuses starts.
  bool Forbids(std::string_view data_centre, const AgentLoad& load) const;

  /// Whether an agent that reports this load has to be told of a change.
  bool IsNewsFor(std::string_view data_centre, const AgentLoad& load) const;

  std::uint64_t Version() const { return this->version; }
  EvacuationSet Current() const;
  /// Data centres whose evacuation was revoked while this process ran.
  const std::set<std::string, std::less<>>& Revoked() const { return this->revoked; }
  /// Returns the names separated by commas; "none" if no data centre is evacuated.
  std::string Text() const;

 private:
  std::uint64_t version = 0;
  std::set<std::string, std::less<>> data_centres;
  std::set<std::string, std::less<>> revoked;
  /// What agents reported, by data centre, as long as it is newer than `version`.
  std::map<std::string, State, std::less<>> reported;
};

}  // namespace quetzalvale
