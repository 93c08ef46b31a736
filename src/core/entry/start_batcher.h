/// Collects tasks for one agent into one start message.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/entry/job_table.h"
#include "core/types.h"

namespace quetzalvale {

/// Holds placed tasks for a short time, so that one message starts several. With a delay of zero a
/// batch is due at once and gathers what one event placed. Not thread-safe.
class StartBatcher {
 public:
  struct Batch {
    Incarnation agent;
    std::vector<TaskRef> tasks;
  };

  /// A batch is due `delay` after its first task, or when it has `limit` tasks.
  void Add(const Incarnation& agent, const TaskRef& task, Time now, Microseconds delay,
           std::size_t limit);

  void Remove(const Incarnation& agent, const TaskRef& task);

  /// Takes out the batches that are due, each of at most `limit` tasks as given to Add.
  std::vector<Batch> TakeDue(Time now);

  /// Whether a batch for the agent is waiting.
  bool Has(const Incarnation& agent) const { return this->pending.contains(agent); }

  bool IsEmpty() const { return this->pending.empty(); }

 private:
  struct Pending {
    Time due{};
    std::size_t limit = 1;
    std::vector<TaskRef> tasks;
  };

  std::map<Incarnation, Pending> pending;
};

}  // namespace quetzalvale
