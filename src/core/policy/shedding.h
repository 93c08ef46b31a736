/// Which part of its jobs an entry hands to others.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Answers the pattern of entries of unequal size whose callers come unevenly: a small entry that
/// is short of processor time hands a growing part of its jobs to larger ones, because handing a
/// job on costs a fraction of placing its tasks. Not thread-safe.
class Shedding {
 public:
  struct Peer {
    std::string address;
    /// Processor share of its machine, in cores.
    double cores = 0;
  };

  /// `cores` is the processor share of this entry's machine.
  explicit Shedding(double cores) : cores(cores) {}

  /// Replaces the known peers. Those smaller than this entry get no jobs.
  void SetPeers(std::vector<Peer> known);

  /// Adjusts the part to the longest time that an event waited here lately.
  void NoteLag(Time::duration lag, Time now);

  /// Returns the peer that gets the next job, or nothing when it stays here.
  std::optional<std::string> Choose(Time now, Random& random);

  /// The peer took no job: it is left out for a while.
  void NoteRefusal(const std::string& address, Time now);

  /// Part of the jobs that is handed on, 0 to 1.
  double Part() const { return this->part; }

 private:
  double cores;
  std::vector<Peer> peers;
  /// Until when peers are left out.
  std::map<std::string, Time> paused;
  double part = 0;
  Time adjusted{};
};

}  // namespace quetzalvale
