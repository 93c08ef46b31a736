/// Decides which of its jobs an entry offloads to other entries.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Handles entries of unequal size with uneven load from callers: a small entry that runs short of
/// processor time offloads a growing fraction of its jobs to larger entries, because forwarding a
/// job costs much less than placing its tasks. Not thread-safe.
class OffloadPolicy {
 public:
  struct Peer {
    std::string address;
    /// Processor share of the peer's machine, in cores.
    double cores = 0;
  };

  /// `cores` is the processor share of this entry's machine.
  explicit OffloadPolicy(double cores) : cores(cores) {}

  /// Replaces the known peers. Peers smaller than this entry get no jobs.
  void SetPeers(std::vector<Peer> new_peers);

  /// Adjusts the offloaded fraction to `lag`, the longest time that an event recently waited in
  /// this process before it was handled.
  void NoteLag(Time::duration lag, Time now);

  /// Returns the address of the peer that gets the next job, or nothing if the job stays here.
  std::optional<std::string> Choose(Time now, Random& random);

  /// Records that the peer refused a job; it gets no jobs for a while.
  void NoteRefusal(const std::string& address, Time now);

  /// Records that the peer did not respond. It gets no jobs for a time that doubles with each
  /// failure in a row, because the peer may be gone for good.
  void NoteFailure(const std::string& address, Time now);

  /// Records that the peer took a job and answered it.
  void NoteServed(const std::string& address) { this->pauses.erase(address); }

  /// Fraction of the jobs that is offloaded, 0 to 1.
  double Fraction() const { return this->fraction; }

 private:
  double cores;
  std::vector<Peer> peers;
  struct Pause {
    Time until{};
    /// Length of the last pause after a failure.
    Milliseconds after_failure{0};
  };

  bool IsPaused(const std::string& address, Time now) const;

  /// Peers that refused a job or did not respond.
  std::map<std::string, Pause> pauses;
  double fraction = 0;
  Time adjusted_at{};
};

}  // namespace quetzalvale
