#include <docopt/docopt.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "entry/entry_process.h"
#include "http/connection_report.h"
#include "runtime/log.h"
#include "runtime/signals.h"

namespace {

constexpr char kUsage[] =
    R"(Accepts callers' jobs, places their tasks on agents and assembles the answers.

Usage:
  quetzalvale-entry --settings=FILE
  quetzalvale-entry (-h | --help)

Options:
  --settings=FILE  Process settings in JSON.
)";

constexpr int kHttpThreads = 8;

/// Ends the wait in main, as SIGTERM does.
void RequestStop() { kill(getpid(), SIGTERM); }

int Run(const quetzalvale::ProcessSettings& settings) {
  quetzalvale::EntryProcess entry(settings, RequestStop);
  const std::string problem = entry.Start();
  if (!problem.empty()) {
    quetzalvale::Log(quetzalvale::LogLevel::kError, 3003, "entry_start_failed",
                     "reason=" + problem);
    return EXIT_FAILURE;
  }
  quetzalvale::WaitForStopSignal();
  entry.Leave();
  quetzalvale::FlushLog();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  quetzalvale::BlockStopSignals();
  const auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const auto settings = quetzalvale::LoadProcessSettings(options.at("--settings").asString());
  if (!quetzalvale::IsOk(settings)) {
    std::cerr << quetzalvale::GetError(settings).message << "\n";
    return EXIT_FAILURE;
  }
  const auto& loaded = std::get<quetzalvale::ProcessSettings>(settings);
  if (loaded.role != quetzalvale::ProcessRole::kEntry) {
    std::cerr << options.at("--settings").asString()
              << ": $.role: is not entry; set it to entry or start quetzalvale-agent\n";
    return EXIT_FAILURE;
  }
  quetzalvale::InitLog("quetzalvale-entry", quetzalvale::ParseLogLevel(loaded.log_level));
  quetzalvale::InitHttpThreads(kHttpThreads);
  quetzalvale::ApplyConnectionLimits(loaded.limits);
  return Run(loaded);
}
