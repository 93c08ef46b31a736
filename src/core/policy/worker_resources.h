/// Tracks the resources that the running tasks of one worker declare.
#pragma once

#include <cstdint>

#include "core/messages.h"

namespace quetzalvale {

/// Amounts of all resources that the tasks on a worker share. Integers, so that sums are exact; a
/// declared number of cores is rounded to the nearest thousandth.
struct Resources {
  std::int64_t slots = 0;
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);

  /// Whether there is at least `need` of every resource.
  bool Covers(const Resources& need) const;
};

/// One slot and the resources that the task declares.
Resources DeclaredBy(const TaskSpec& spec);

/// All resources of the worker. A worker without stated cores or memory is not limited by them; one
/// without stated slots or accelerators has none.
Resources CapacityOf(const WorkerCapacity& worker);

/// The resources that the agent reported as free. A resource that does not limit the worker is
/// always free.
Resources ReportedFree(const WorkerCapacity& worker, const AgentLoad& load);

/// Whether the task declares cores, memory or accelerators.
bool DeclaresResources(const Resources& task);

/// Number of such tasks that fit into `amounts` at once; zero for negative amounts.
int ParallelRuns(const Resources& amounts, const Resources& task);

/// Not thread-safe.
class WorkerResources {
 public:
  explicit WorkerResources(const WorkerCapacity& worker);

  /// Whether the task fits on the worker while nothing else runs.
  bool EverFits(const Resources& task) const { return this->capacity.Covers(task); }

  bool FitsNow(const Resources& task) const { return this->free.Covers(task); }

  /// Precondition: FitsNow(task), or the caller releases as much before the next call of FitsNow.
  void Reserve(const Resources& task) { this->free -= task; }

  /// Precondition: the same amounts were reserved before.
  void Release(const Resources& task) { this->free += task; }

  const Resources& Free() const { return this->free; }

  /// Whether some running task declares cores, memory or accelerators.
  bool AnyTaskDeclaresResources() const;

 private:
  Resources capacity;
  Resources free;
};

/// Whether a start of `task` now would delay `waiting`: it uses a resource that `waiting` needs and
/// leaves too little of it. A task that uses no scarce resource delays no other.
bool Delays(const Resources& free, const Resources& task, const Resources& waiting);

/// Resources that a task may use without delaying `waiting`. Zero for each resource of which
/// `waiting` still needs more.
Resources FreeWithoutDelaying(const Resources& free, const Resources& waiting);

}  // namespace quetzalvale
