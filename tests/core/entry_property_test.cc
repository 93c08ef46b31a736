#include <gtest/gtest.h>

#include <iostream>

#include "tests/core/simulation.h"

namespace quetzalvale {
namespace {

void ExpectNoFaults(const Simulation& simulation, std::uint64_t seed) {
  for (const std::string& fault : simulation.Violations()) {
    ADD_FAILURE() << "seed " << seed << ": " << fault;
  }
}

// Guards against lost work without any fault in the way.
TEST(EntryPropertyTest, CompletesJobsOnAFaultlessNetwork) {
  SimulationSettings settings;
  settings.message_loss = settings.message_duplication = settings.message_delay =
      settings.task_failure_probability = 0;
  settings.mean_fault_interval = Milliseconds(0);
  settings.job_interval = Milliseconds(20);
  Simulation simulation(1, settings);
  simulation.Run(Milliseconds(20000), Milliseconds(10000));
  simulation.CheckSettled();
  ExpectNoFaults(simulation, 1);
  EXPECT_GT(simulation.EventCount("complete"), 500U);
}

// Guards against double starts, false "not run" and lost or doubled answers when processes die,
// freeze and leave, and messages are lost, repeated, delayed and reordered.
TEST(EntryPropertyTest, KeepsItsPromisesUnderFaults) {
  std::uint64_t events = 0;
  std::map<std::string, std::uint64_t> counts;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    // From rare faults, where most jobs complete, to several at a time.
    SimulationSettings settings;
    settings.mean_fault_interval = Milliseconds(seed % 3 == 0 ? 400 : seed % 3 == 1 ? 1500 : 5000);
    settings.job_interval = Milliseconds(seed % 2 == 0 ? 10 : 25);
    Simulation simulation(seed, settings);
    simulation.Run(Milliseconds(60000), Milliseconds(30000));
    simulation.CheckSettled();
    ExpectNoFaults(simulation, seed);
    events += simulation.Events();
    for (const auto& [name, count] : simulation.EventCounts()) {
      counts[name] += count;
    }
  }
  for (const auto& [name, count] : counts) {
    std::cout << name << " " << count << "\n";
  }
  std::cout << "events " << events << "\n";
  EXPECT_GE(events, 1000000U);
  // The schedule is worthless if it does not reach the paths in question.
  for (const char* name : {"complete", "salvage_started", "hand_over", "ledger_adopted",
                           "agent_removed", "failed_outcome_unknown", "failed_deadline_not_run"}) {
    EXPECT_GT(counts[name], 0U) << name;
  }
}

}  // namespace
}  // namespace quetzalvale
