// unguarded-agent: the agent without one guard, for scenarios that must then fail.
#include "agent/agent_process.h"
#include "tests/unguarded/options.h"

namespace quetzalvale {
namespace {

constexpr int kHttpThreads = 4;

/// Returns false when there is no such guard.
bool Remove(const std::string& guard, AgentGuards& guards) {
  if (guard == "accept_sequence") {
    guards.accept_sequence = [](ChannelTable&, const Incarnation&, std::uint64_t, Time) {
      return true;
    };
  } else if (guard == "is_sealed") {
    guards.is_sealed = [](const SealedTickets&, const Ticket&) { return false; };
  } else if (guard == "refuses_starts") {
    guards.refuses_starts = [](bool) { return false; };
  } else {
    return false;
  }
  return true;
}

}  // namespace
}  // namespace quetzalvale

int main(int argc, char** argv) {
  return quetzalvale::RunUnguarded<quetzalvale::AgentProcess, quetzalvale::AgentGuards>(
      argc, argv, "unguarded-agent", quetzalvale::kHttpThreads, quetzalvale::Remove);
}
