/// Command line of the programs that run without one guard. Test programs only.
#pragma once

#include <docopt/docopt.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>

#include "http/http_server.h"
#include "runtime/log.h"
#include "runtime/signals.h"
#include "settings/process_settings.h"

namespace quetzalvale {

inline constexpr char kUnguardedUsage[] = R"(Test variant of a program without one of its guards.

Usage:
  unguarded --without=GUARD --settings=FILE
)";

struct UnguardedOptions {
  std::string guard;
  ProcessSettings settings;
};

/// Prints what is wrong and returns nothing when the settings cannot be used.
inline std::optional<UnguardedOptions> ReadUnguardedOptions(int argc, char** argv) {
  const auto options = docopt::docopt(kUnguardedUsage, {argv + 1, argv + argc});
  auto settings = LoadProcessSettings(options.at("--settings").asString());
  if (!IsOk(settings)) {
    std::cerr << GetError(settings).message << "\n";
    return std::nullopt;
  }
  return UnguardedOptions{options.at("--without").asString(),
                          std::get<ProcessSettings>(std::move(settings))};
}

/// Runs a Process without one guard until a stop signal. `remove` takes the guard out of Guards, or
/// returns false when there is no such guard. Returns the exit code.
template <typename Process, typename Guards>
int RunUnguarded(int argc, char** argv, const char* program, int http_threads,
                 bool (*remove)(const std::string&, Guards&)) {
  BlockStopSignals();
  const auto options = ReadUnguardedOptions(argc, argv);
  if (!options) {
    return EXIT_FAILURE;
  }
  Guards guards;
  if (!remove(options->guard, guards)) {
    std::cerr << program << " has no guard " << options->guard << "\n";
    return EXIT_FAILURE;
  }
  InitLog(program, ParseLogLevel(options->settings.log_level));
  InitHttpThreads(http_threads);
  Process process(
      options->settings, [] { kill(getpid(), SIGTERM); }, std::move(guards));
  const std::string problem = process.Start();
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return EXIT_FAILURE;
  }
  WaitForStopSignal();
  process.Leave();
  return EXIT_SUCCESS;
}

}  // namespace quetzalvale
