#include <gtest/gtest.h>

#include "tests/core/simulation.h"

namespace quetzalvale {
namespace {

// Guards against starts in an evacuated data centre later than 5,000 ms after the store
// acknowledged the row, when entries are cut off from the store, entries and agents restart,
// messages are lost, repeated and delayed, and several evacuations overlap.
TEST(EvacuationPropertyTest, NothingStartsAfterTheBound) {
  std::map<std::string, std::uint64_t> counts;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationSettings settings;
    settings.agents = 6;
    settings.mean_fault_interval = Milliseconds(0);
    settings.job_interval = Milliseconds(10);
    settings.evacuations = true;
    Simulation simulation(seed, settings);
    simulation.Run(Milliseconds(60000), Milliseconds(20000));
    simulation.CheckSettled();
    for (const std::string& violation : simulation.Violations()) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    for (const auto& [name, count] : simulation.EventCounts()) {
      counts[name] += count;
    }
  }
  // The test is meaningful only if these cases occur.
  for (const char* name :
       {"complete", "evacuation_changed", "started_during_evacuation", "replaced", "cut_from_store",
        "tasks_withdrawn", "evacuated", "evacuation_revoked"}) {
    EXPECT_GT(counts[name], 0U) << name;
  }
}

}  // namespace
}  // namespace quetzalvale
