/// Memory of everything that an agent ever handed to its endpoint.
#pragma once

#include <boost/container/flat_set.hpp>
#include <cstddef>
#include <cstdint>
#include <map>

#include "core/types.h"

namespace quetzalvale {

/// Whether a task was handed to the endpoint. kMaybe: too long ago to know.
enum class StartedStatus { kNever, kStarted, kMaybe };

/// Outlives the task records: it answers for tasks whose record was discarded. Per owner there is
/// a floor; for ticket sequences below it the answer is kMaybe. Bounded by raising the floor of the
/// owner with the most entries. Not thread-safe.
class StartedTickets {
 public:
  /// At most 36 minutes at 30 starts per second, beyond the validity of tickets; some 4 MB.
  static constexpr std::size_t kDefaultTasks = 65536;

  explicit StartedTickets(std::size_t max_tasks = kDefaultTasks) : max_tasks(max_tasks) {}

  void Record(const TaskKey& task);

  /// Takes back a Record of a task that the endpoint provably did not start.
  void Forget(const TaskKey& task);

  StartedStatus Query(const TaskKey& task) const;

  /// Number of tasks of the ticket noted so far; nothing is known when IsBelowWatermark.
  std::size_t CountOf(const Ticket& ticket) const;

  /// Whether anything of the ticket may have started without being remembered.
  bool IsBelowWatermark(const Ticket& ticket) const;

  /// Answers kMaybe for every ticket of the owner from now on.
  void CloseOwner(const Incarnation& owner);

  std::size_t Size() const { return this->tasks; }

 private:
  using Indices = boost::container::flat_set<std::uint32_t>;
  struct Owner {
    std::uint64_t watermark = 0;
    bool closed = false;
    std::size_t tasks = 0;
    std::map<std::uint64_t, Indices> tickets;
  };

  const Indices* IndicesOf(const Ticket& ticket) const;
  void RaiseWatermarkOfLargestOwner();

  std::size_t max_tasks;
  std::size_t tasks = 0;
  std::map<Incarnation, Owner> owners;
};

}  // namespace quetzalvale
