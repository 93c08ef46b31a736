#include <gtest/gtest.h>

#include <iostream>

#include "tests/core/simulation.h"

namespace quetzalvale {
namespace {

void ExpectNoViolations(const Simulation& simulation, std::uint64_t seed) {
  for (const std::string& violation : simulation.Violations()) {
    ADD_FAILURE() << "seed " << seed << ": " << violation;
  }
}

// Guards against jobs that do not complete although no fault is injected.
TEST(EntryPropertyTest, CompletesJobsWithoutFaults) {
  SimulationSettings settings;
  settings.message_loss = settings.message_duplication = settings.message_delay =
      settings.task_failure_probability = 0;
  settings.mean_fault_interval = Milliseconds(0);
  settings.job_interval = Milliseconds(20);
  Simulation simulation(1, settings);
  simulation.Run(Milliseconds(20000), Milliseconds(10000));
  simulation.CheckSettled();
  ExpectNoViolations(simulation, 1);
  EXPECT_GT(simulation.EventCount("complete"), 500U);
}

// Guards against tasks started twice, jobs falsely reported as not run, and lost or duplicate
// answers when processes die, freeze and leave, and messages are lost, repeated, delayed and
// reordered.
TEST(EntryPropertyTest, KeepsGuaranteesUnderFaults) {
  std::uint64_t events = 0;
  std::map<std::string, std::uint64_t> counts;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    // The fault rate ranges from rare faults, where most jobs complete, to several at a time.
    SimulationSettings settings;
    settings.mean_fault_interval = Milliseconds(seed % 3 == 0 ? 400 : seed % 3 == 1 ? 1500 : 5000);
    settings.job_interval = Milliseconds(seed % 2 == 0 ? 10 : 25);
    Simulation simulation(seed, settings);
    simulation.Run(Milliseconds(60000), Milliseconds(30000));
    simulation.CheckSettled();
    ExpectNoViolations(simulation, seed);
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
  // The test is meaningful only if the faults exercise these code paths.
  for (const char* name : {"complete", "salvage_started", "hand_over", "ledger_adopted",
                           "agent_removed", "failed_outcome_unknown", "failed_deadline_not_run"}) {
    EXPECT_GT(counts[name], 0U) << name;
  }
}

}  // namespace
}  // namespace quetzalvale
