#include <docopt/docopt.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "agent/agent_process.h"
#include "http/connection_report.h"
#include "http/http_server.h"
#include "runtime/log.h"
#include "runtime/signals.h"
#include "settings/process_settings.h"

namespace {

constexpr char kUsage[] = R"(Starts tasks on the endpoint beside it and returns their outcomes.

Usage:
  quetzalvale-agent --settings=FILE
  quetzalvale-agent (-h | --help)

Options:
  --settings=FILE  Process settings in JSON.
)";

/// Requests to one endpoint and a few readers of metrics; none of the handlers blocks.
constexpr int kHttpThreads = 4;

/// Ends the wait in main, as SIGTERM does.
void RequestStop() { kill(getpid(), SIGTERM); }

int Run(const quetzalvale::ProcessSettings& settings) {
  quetzalvale::AgentProcess agent(settings, RequestStop);
  const std::string problem = agent.Start();
  if (!problem.empty()) {
    quetzalvale::Log(quetzalvale::LogLevel::kError, 2002, "agent_start_failed",
                     "reason=" + problem);
    return EXIT_FAILURE;
  }
  quetzalvale::WaitForStopSignal();
  agent.Leave();
  quetzalvale::FlushLog();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  quetzalvale::BlockStopSignals();
  const auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const std::string file = options.at("--settings").asString();
  const auto settings = quetzalvale::LoadProcessSettings(file);
  if (!quetzalvale::IsOk(settings)) {
    std::cerr << quetzalvale::GetError(settings).message << "\n";
    return EXIT_FAILURE;
  }
  const auto& loaded = std::get<quetzalvale::ProcessSettings>(settings);
  if (loaded.role != quetzalvale::ProcessRole::kAgent) {
    std::cerr << file << ": $.role: is not agent; set it to agent or start quetzalvale-entry\n";
    return EXIT_FAILURE;
  }
  quetzalvale::InitLog("quetzalvale-agent", quetzalvale::ParseLogLevel(loaded.log_level));
  quetzalvale::InitHttpThreads(kHttpThreads);
  quetzalvale::ApplyConnectionLimits(loaded.limits);
  return Run(loaded);
}
