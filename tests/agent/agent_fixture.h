/// Identities, messages and helpers shared by the agent's tests.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/agent/agent_core.h"
#include "tests/support/select_actions.h"

namespace quetzalvale {

inline constexpr Incarnation kAgentId{1, 1};
inline constexpr Incarnation kOwnerId{2, 2};
inline constexpr char kOwnerAddress[] = "127.0.0.1:1";

inline TaskKey MakeTask(std::uint64_t sequence, std::uint32_t index = 0,
                        Incarnation owner = kOwnerId) {
  return TaskKey{Ticket{"s", owner, sequence, 1}, index};
}

inline AgentIdentity MakeIdentity(int slots) {
  AgentIdentity identity{kAgentId, "a", "s", "dc", "127.0.0.1:9", {}};
  identity.worker.slots = slots;
  identity.worker.connections = slots;
  return identity;
}

inline StartRequest MakeStart(std::uint64_t channel_sequence, const std::vector<TaskKey>& tasks,
                              Milliseconds time_left = Milliseconds(10000)) {
  StartRequest request;
  request.owner = tasks.front().ticket.owner;
  request.owner_address = kOwnerAddress;
  request.agent = kAgentId;
  request.channel_sequence = channel_sequence;
  request.lease = Milliseconds(3000);
  for (const auto& task : tasks) {
    request.items.push_back(StartItem{task, "k", TaskSpec(), time_left});
  }
  return request;
}

}  // namespace quetzalvale
