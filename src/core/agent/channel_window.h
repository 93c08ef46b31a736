/// Duplicate detection for the start messages of one owner.
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace quetzalvale {

/// Accepts each channel sequence at most once. Sequences below the sliding window count as used:
/// this bounds the memory, and a delayed duplicate is never taken for a new message. Not
/// thread-safe.
class ChannelWindow {
 public:
  /// Window size in sequences. Bounds how far starts of one owner may arrive out of order; an owner
  /// has at most a few hundred starts in flight to one agent.
  static constexpr std::uint64_t kSize = 4096;

  /// Marks the sequence as used. Returns whether it was unused.
  bool Accept(std::uint64_t sequence);

  /// Marks the sequence as used, so that a later Accept() of it returns false.
  void MarkUsed(std::uint64_t sequence) { this->Accept(sequence); }

 private:
  void AdvanceTo(std::uint64_t new_end);

  /// One past the highest sequence seen. The window covers the kSize sequences below it.
  std::uint64_t end = 0;
  std::bitset<static_cast<std::size_t>(kSize)> used;
};

}  // namespace quetzalvale
