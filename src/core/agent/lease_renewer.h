/// Renewal of the leases of running tasks.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Renews each lease after a third of its length, so that it survives the loss of two renewals.
/// Leases of equal length are renewed in one request. Not thread-safe.
class LeaseRenewer {
 public:
  struct Renewal {
    Milliseconds lease{0};
    std::vector<TaskKey> tasks;
    /// Number of tasks whose lease may have expired before this renewal, for example because the
    /// process was suspended. The worker stops such tasks on its own.
    std::size_t late = 0;
  };

  void Add(const TaskKey& task, Milliseconds lease, Time now);
  void Remove(const TaskKey& task);

  /// Returns the renewals that are due and counts them as sent.
  std::vector<Renewal> TakeDue(Time now);

  std::size_t Size() const { return this->leases.size(); }

 private:
  struct Lease {
    Milliseconds length{0};
    Time renewed{};
  };

  std::map<TaskKey, Lease> leases;
};

}  // namespace quetzalvale
