#include "core/policy/worker_resources.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace quetzalvale {
namespace {

constexpr double kMillicoresPerCore = 1000;

/// Above every possible declaration, and low enough that sums cannot overflow.
constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max() / 4;

/// Upper bound on declared amounts. No worker has as much, and the sum of as many declarations as
/// one message can carry does not overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;

std::int64_t ClampAmount(std::int64_t value) {
  return std::clamp<std::int64_t>(value, 0, kMaxAmount);
}

std::int64_t Millicores(double cores) {
  constexpr double kMax = static_cast<double>(kMaxAmount);
  const double millicores = cores * kMillicoresPerCore;
  return millicores > 0 ? std::llround(std::min(millicores, kMax)) : 0;
}

std::int64_t Remaining(std::int64_t free, std::int64_t waiting) {
  return std::max<std::int64_t>(0, free - waiting);
}

bool DelaysBy(std::int64_t free, std::int64_t task, std::int64_t waiting) {
  return task > 0 && waiting > 0 && free - task < waiting;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  this->slots += other.slots;
  this->millicores += other.millicores;
  this->memory_mb += other.memory_mb;
  this->accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->slots -= other.slots;
  this->millicores -= other.millicores;
  this->memory_mb -= other.memory_mb;
  this->accelerators -= other.accelerators;
  return *this;
}

bool Resources::Covers(const Resources& need) const {
  // A resource that the task does not need is not checked, even if more of it is taken than there
  // is.
  return (need.slots <= 0 || need.slots <= this->slots) &&
         (need.millicores <= 0 || need.millicores <= this->millicores) &&
         (need.memory_mb <= 0 || need.memory_mb <= this->memory_mb) &&
         (need.accelerators <= 0 || need.accelerators <= this->accelerators);
}

Resources DeclaredBy(const TaskSpec& spec) {
  return {1, Millicores(spec.cores), ClampAmount(spec.memory_mb), ClampAmount(spec.accelerators)};
}

Resources CapacityOf(const WorkerCapacity& worker) {
  return {ClampAmount(worker.slots), worker.cores > 0 ? Millicores(worker.cores) : kUnlimited,
          worker.memory_mb > 0 ? ClampAmount(worker.memory_mb) : kUnlimited,
          ClampAmount(worker.accelerators)};
}

Resources ReportedFree(const WorkerCapacity& worker, const AgentLoad& load) {
  return {ClampAmount(load.free_slots), worker.cores > 0 ? Millicores(load.free_cores) : kUnlimited,
          worker.memory_mb > 0 ? ClampAmount(load.free_memory_mb) : kUnlimited,
          ClampAmount(load.free_accelerators)};
}

WorkerResources::WorkerResources(const WorkerCapacity& worker)
    : capacity(CapacityOf(worker)), free(this->capacity) {}

bool DeclaresResources(const Resources& task) {
  return task.millicores != 0 || task.memory_mb != 0 || task.accelerators != 0;
}

int ParallelRuns(const Resources& amounts, const Resources& task) {
  constexpr std::int64_t kMax = 1000000;
  const auto runs = [](std::int64_t amount, std::int64_t need) {
    return need > 0 ? std::max<std::int64_t>(0, amount) / need : kMax;
  };
  const std::int64_t fewest =
      std::min({runs(amounts.slots, std::max<std::int64_t>(1, task.slots)),
                runs(amounts.millicores, task.millicores), runs(amounts.memory_mb, task.memory_mb),
                runs(amounts.accelerators, task.accelerators)});
  return static_cast<int>(fewest);
}

bool WorkerResources::AnyTaskDeclaresResources() const {
  Resources taken = this->capacity;
  taken -= this->free;
  return DeclaresResources(taken);
}

bool Delays(const Resources& free, const Resources& task, const Resources& waiting) {
  return DelaysBy(free.slots, task.slots, waiting.slots) ||
         DelaysBy(free.millicores, task.millicores, waiting.millicores) ||
         DelaysBy(free.memory_mb, task.memory_mb, waiting.memory_mb) ||
         DelaysBy(free.accelerators, task.accelerators, waiting.accelerators);
}

Resources FreeWithoutDelaying(const Resources& free, const Resources& waiting) {
  return {Remaining(free.slots, waiting.slots), Remaining(free.millicores, waiting.millicores),
          Remaining(free.memory_mb, waiting.memory_mb),
          Remaining(free.accelerators, waiting.accelerators)};
}

}  // namespace quetzalvale
