/// Which directions between two processes are cut.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace quetzalvale {

/// Directions are ordered pairs of process names. Thread-safe.
class LinkTable {
 public:
  /// Stops what `from` sends to `to`.
  void Cut(const std::string& from, const std::string& to);

  void Restore(const std::string& from, const std::string& to);

  /// Delays the next message that `from` sends to `to` as a request, until Release. Other
  /// connections go on.
  void Hold(const std::string& from, const std::string& to);

  /// Lets the message held in this direction pass, or takes Hold back.
  void Release(const std::string& from, const std::string& to);

  /// Returns whether a connection on which a message has arrived is the one to hold. Only one is.
  bool TakeHold(const std::string& from, const std::string& to);

  /// Returns whether a message is held in this direction.
  bool IsHolding(const std::string& from, const std::string& to) const;

  /// Breaks off the connections that `from` has opened to `to`. Later ones are not affected.
  void Reset(const std::string& from, const std::string& to);

  /// Number of resets of the direction so far: a connection that was opened at a lower one is to be
  /// broken off.
  std::uint64_t Resets(const std::string& from, const std::string& to) const;

  bool IsCut(const std::string& from, const std::string& to) const;

  /// Runs `transfer` unless the direction is cut, and returns its result, or true. A cut waits for
  /// transfers under way, so that nothing passes after Cut has returned.
  bool IfOpen(const std::string& from, const std::string& to,
              const std::function<bool()>& transfer) const;

 private:
  mutable std::mutex mutex;
  std::set<std::pair<std::string, std::string>> cuts;
  /// Directions whose next message is to be held, and those in which one is held.
  std::set<std::pair<std::string, std::string>> holds;
  std::set<std::pair<std::string, std::string>> holding;
  std::map<std::pair<std::string, std::string>, std::uint64_t> resets;
};

}  // namespace quetzalvale
