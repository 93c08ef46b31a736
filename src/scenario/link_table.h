/// Which directions between two processes are cut.
#pragma once

#include <functional>
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

  bool IsCut(const std::string& from, const std::string& to) const;

  /// Runs `transfer` unless the direction is cut, and returns its result, or true. A cut waits for
  /// transfers under way, so that nothing passes after Cut has returned.
  bool IfOpen(const std::string& from, const std::string& to,
              const std::function<bool()>& transfer) const;

 private:
  mutable std::mutex mutex;
  std::set<std::pair<std::string, std::string>> cuts;
};

}  // namespace quetzalvale
