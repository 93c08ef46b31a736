/// Channel windows of all owners that an agent has heard from.
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

/// Bounded: when there are too many owners, the one heard from least recently is closed, after
/// which all of its sequences count as used. Not thread-safe.
class ChannelTable {
 public:
  /// Returns whether the owner can be closed, which must not be while it has unfinished tasks.
  using MayClose = std::function<bool(const Incarnation&)>;

  struct Limits {
    /// Half a megabyte of windows. Fleets have a few dozen entries at a time.
    std::size_t open_channels = 1024;
    /// At 182 replaced instances a day, more than a year. Then new owners are refused.
    std::size_t closed_owners = 65536;
  };

  explicit ChannelTable(MayClose may_close) : ChannelTable(std::move(may_close), Limits()) {}
  ChannelTable(MayClose may_close, Limits limits)
      : may_close(std::move(may_close)), limits(limits) {}

  /// Marks the sequence used. Returns whether it was unused before.
  bool Accept(const Incarnation& owner, std::uint64_t sequence, Time now);

  /// Returns the owners that were closed since the last call.
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
