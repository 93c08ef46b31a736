/// Checks that prevent the agent from starting a task twice or too late.
#pragma once

#include <cstdint>
#include <functional>

#include "core/agent/channel_table.h"
#include "core/agent/sealed_tickets.h"
#include "core/agent/started_tickets.h"
#include "core/policy/worker_resources.h"
#include "core/types.h"

namespace quetzalvale {

/// Each check is a replaceable function, so that a test can disable it and show that the guarantee
/// no longer holds. Never changed by settings.
struct AgentGuards {
  std::function<bool(ChannelTable&, const Incarnation&, std::uint64_t, Time)> accept_sequence =
      [](ChannelTable& channels, const Incarnation& owner, std::uint64_t sequence, Time now) {
        return channels.Accept(owner, sequence, now);
      };
  std::function<bool(const SealedTickets&, const Ticket&)> is_sealed =
      [](const SealedTickets& sealed, const Ticket& ticket) { return sealed.IsSealed(ticket); };
  std::function<StartedStatus(const StartedTickets&, const TaskKey&)> query_started =
      [](const StartedTickets& started, const TaskKey& task) { return started.Query(task); };
  std::function<bool(Time, Time)> has_time_left = [](Time now, Time deadline) {
    return now < deadline;
  };
  std::function<bool(bool)> refuses_starts = [](bool leaving) { return leaving; };
  std::function<bool(const Incarnation&, const Incarnation&)> same_incarnation =
      [](const Incarnation& own, const Incarnation& named) { return own == named; };
  std::function<bool(const WorkerResources&, const Resources&)> fits_now =
      [](const WorkerResources& resources, const Resources& task) {
        return resources.FitsNow(task);
      };
};

}  // namespace quetzalvale
