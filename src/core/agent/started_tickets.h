/// History of the tasks that the agent dispatched to its endpoint.
#pragma once

#include <boost/container/flat_set.hpp>
#include <cstddef>
#include <cstdint>
#include <map>

#include "core/types.h"

namespace quetzalvale {

/// Whether a task was dispatched to the endpoint. kMaybe: the history does not go back that far.
enum class StartedStatus { kNever, kStarted, kMaybe };

/// Covers tasks whose records have been discarded. Each owner has a low watermark; ticket sequences
/// below it are reported as kMaybe. The size is bounded by raising the watermark of the owner with
/// the most entries. Not thread-safe.
class StartedTickets {
 public:
  /// Up to 36 minutes at 30 starts per second, longer than tickets are valid. Takes about 4 MB.
  static constexpr std::size_t kDefaultTasks = 65536;

  explicit StartedTickets(std::size_t max_tasks = kDefaultTasks) : max_tasks(max_tasks) {}

  /// Records that the task is being dispatched.
  void Record(const TaskKey& task);

  /// Undoes Record() for a task that the endpoint provably did not start.
  void Forget(const TaskKey& task);

  /// Returns whether the task was dispatched.
  StartedStatus Query(const TaskKey& task) const;

  /// Number of recorded tasks of the ticket. Meaningless when IsBelowWatermark(ticket).
  std::size_t CountOf(const Ticket& ticket) const;

  /// Whether tasks of the ticket may have been dispatched and dropped from the history.
  bool IsBelowWatermark(const Ticket& ticket) const;

  /// Makes the answer kMaybe for every ticket of the owner from now on.
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
