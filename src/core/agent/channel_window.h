/// Duplicate detection for the start messages of one owner.
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace quetzalvale {

/// Accepts each channel sequence at most once. Numbers below the sliding window count as used, so
/// that memory is bounded and a delayed duplicate is never taken for a new message.
/// Not thread-safe.
class ChannelWindow {
 public:
  /// Starts of one owner that may overtake each other. An owner has at most a few hundred starts
  /// in flight to one agent.
  static constexpr std::uint64_t kSize = 4096;

  /// Marks the sequence used. Returns whether it was unused before.
  bool Accept(std::uint64_t sequence);

  /// Makes every later Accept of this sequence fail.
  void MarkUsed(std::uint64_t sequence) { this->Accept(sequence); }

 private:
  void AdvanceTo(std::uint64_t new_end);

  /// One past the highest sequence seen; the window holds the kSize sequences below it.
  std::uint64_t end = 0;
  std::bitset<static_cast<std::size_t>(kSize)> used;
};

}  // namespace quetzalvale
