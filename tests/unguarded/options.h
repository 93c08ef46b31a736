/// Command line of the programs that run without one guard. Test programs only.
#pragma once

#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <optional>
#include <string>

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

}  // namespace quetzalvale
