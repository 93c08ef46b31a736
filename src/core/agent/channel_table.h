/// Channel windows of all owners that have sent messages to the agent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/agent/channel_window.h"
#include "core/types.h"

namespace quetzalvale {

/// Holds one ChannelWindow per owner. Bounded: when there are too many owners, the least recently
/// heard one is closed, and from then on all its sequences count as used. Not thread-safe.
class ChannelTable {
 public:
  /// Returns whether the owner may be closed. Owners with unfinished tasks or undelivered outcomes
  /// must stay open.
  using MayClose = std::function<bool(const Incarnation&)>;

  struct Limits {
    /// Half a megabyte of windows. A fleet has a few dozen entries at a time.
    std::size_t open_channels = 1024;
    /// Enough for more than a year at 182 replaced instances a day. At the limit, new owners are
    /// refused.
    std::size_t closed_owners = 65536;
  };

  explicit ChannelTable(MayClose may_close) : ChannelTable(std::move(may_close), Limits()) {}
  ChannelTable(MayClose may_close, Limits limits)
      : may_close(std::move(may_close)), limits(limits) {}

  /// Marks the sequence as used. Returns true if it was unused. Returns false for owners that are
  /// closed or that the table has no room for.
  bool Accept(const Incarnation& owner, std::uint64_t sequence, Time now);

  /// Returns the owners closed since the last call.
  std::vector<Incarnation> TakeClosed();

  std::size_t OpenOwnerCount() const { return this->open_channels.size(); }

 private:
  struct Channel {
    ChannelWindow window;
    Time last_heard{};
  };

  bool MakeRoom();

  MayClose may_close;
  Limits limits;
  std::map<Incarnation, Channel> open_channels;
  std::set<Incarnation> closed_owners;
  std::vector<Incarnation> newly_closed;
};

}  // namespace quetzalvale
