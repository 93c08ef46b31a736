/// Accounts for what the running tasks of one worker declare.
#pragma once

#include <cstdint>

#include "core/messages.h"

namespace quetzalvale {

/// Amounts of everything that tasks on a worker share. Integers, so that sums are exact; a declared
/// number of cores is rounded to the nearest thousandth.
struct Resources {
  std::int64_t slots = 0;
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);

  /// Whether there is at least `need` of everything.
  bool Covers(const Resources& need) const;
};

/// One slot and what the task declares.
Resources DeclaredBy(const TaskSpec& spec);

/// Everything that the worker has. A worker without stated cores or memory is not limited by them;
/// one without stated slots or accelerators has none.
Resources CapacityOf(const WorkerCapacity& worker);

/// What the agent reported as free. What the worker is not limited by is always free.
Resources ReportedFree(const WorkerCapacity& worker, const AgentLoad& load);

/// Whether the task declares cores, memory or accelerators.
bool DeclaresAny(const Resources& task);

/// How many such tasks find room in the amounts at once. Negative amounts hold none.
int ParallelRuns(const Resources& amounts, const Resources& task);

/// Not thread-safe.
class WorkerResources {
 public:
  explicit WorkerResources(const WorkerCapacity& worker);

  /// Whether the task fits on the worker when nothing else runs.
  bool EverFits(const Resources& task) const { return this->capacity.Covers(task); }

  bool FitsNow(const Resources& task) const { return this->free.Covers(task); }

  /// Precondition: FitsNow(task), or the caller gives back as much before it asks again.
  void Take(const Resources& task) { this->free -= task; }

  /// Precondition: the same amounts were taken.
  void Give(const Resources& task) { this->free += task; }

  const Resources& Free() const { return this->free; }

  /// Whether some running task declares cores, memory or accelerators.
  bool AnyDeclared() const;

 private:
  Resources capacity;
  Resources free;
};

/// Whether a start of `task` now would delay `waiting`: it takes some of what `waiting` needs and
/// leaves too little of that. A task that takes nothing that is scarce delays nobody.
bool Delays(const Resources& free, const Resources& task, const Resources& waiting);

/// What a task may take without delaying `waiting`. Nothing of what `waiting` still lacks.
Resources FreeBeside(const Resources& free, const Resources& waiting);

}  // namespace quetzalvale
