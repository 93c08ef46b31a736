/// The jobs that callers cancelled lately, and which of them other entries know.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Remembers cancelled jobs by name, so that a copy of one that arrives later, at any entry, does
/// not run. Each entry tells all others of the cancellations that its own callers requested, in
/// batches, and repeats a batch until it is confirmed. A peer that is met for the first time is
/// told of all that are remembered. Bounded by number and age; the oldest are forgotten first. Not
/// thread-safe.
class Cancellations {
 public:
  /// Copies of a submission arrive within seconds.
  static constexpr std::chrono::seconds kMaxAge{15};
  /// Ten thousand in kMaxAge are 40% of 1,700 jobs a second; each takes about 150 bytes.
  static constexpr std::size_t kMaxCount = 10000;
  /// Between messages to one peer. With three of these and the time-out of a call, a peer knows
  /// well before it may start nothing of the job any more, which is 3 s after the cancellation.
  static constexpr Milliseconds kInterval{250};
  static constexpr std::size_t kMaxNames = 1000;

  /// Names to tell a peer. `last` has to be returned to OnReplied.
  struct Batch {
    std::vector<std::string> names;
    std::uint64_t last = 0;
  };

  /// Records a cancellation that a caller requested here (`own`) or another entry told of.
  void Add(const std::string& name, bool own, Time now);

  bool Contains(const std::string& name) const { return this->names.contains(name); }

  /// Whether a caller has ever cancelled a job here.
  bool HasOwn() const { return this->last_number > 0; }

  /// Returns what the peer has to be told now, or nothing if it knows all, is being told or was
  /// told less than kInterval ago.
  std::optional<Batch> TakeDue(const Incarnation& peer, Time now);

  /// Records whether the peer confirmed the batch.
  void OnReplied(const Incarnation& peer, std::uint64_t last, bool confirmed);

  void ForgetPeer(const Incarnation& peer) { this->peers.erase(peer); }

  void Expire(Time now);

  std::size_t Size() const { return this->names.size(); }

 private:
  struct Record {
    std::string name;
    /// Position among own cancellations; zero for those of other entries.
    std::uint64_t number = 0;
    Time added{};
  };
  struct Progress {
    /// All own cancellations up to this number are known to the peer.
    std::uint64_t confirmed = 0;
    bool in_flight = false;
    Time next{};
  };

  void DropOldest();

  std::uint64_t last_number = 0;
  std::deque<Record> records;
  /// Number of records of each name.
  std::unordered_map<std::string, int> names;
  std::map<Incarnation, Progress> peers;
};

}  // namespace quetzalvale
