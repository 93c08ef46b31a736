/// What really ran, according to the endpoints' journals.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/result.h"

namespace quetzalvale {

/// Starts per task over all journals that were added. Not thread-safe.
class Journal {
 public:
  /// Adds the body of one endpoint's GET /journal.
  Status Add(std::string_view body);

  /// Tasks that started.
  std::uint64_t Tasks() const { return this->starts.size(); }

  /// Starts beyond the first of each task.
  std::uint64_t DoubleStarts() const;

  /// Tasks that ran although their ticket's answer said "not run".
  std::uint64_t RanThoughNotRun(const std::set<std::string>& not_run_tickets) const;

 private:
  std::map<std::string, std::uint64_t> starts;
};

}  // namespace quetzalvale
