/// quetzalvale-scenario: runs a Lua script that starts, disturbs and checks real processes.
#include <docopt/docopt.h>

#include <exception>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>

#include "runtime/log.h"
#include "scenario/host_functions.h"
#include "scenario/lua_script.h"
#include "scenario/scenario_host.h"

namespace quetzalvale {
namespace {

constexpr char kUsage[] = R"(quetzalvale-scenario: runs a Lua script against real processes.

Usage:
  quetzalvale-scenario [--programs=DIR] [--root=DIR] [--log-level=LEVEL]
                       [--seed=N] [--seconds=S] [--without=GUARD --violates=NUMBER] SCRIPT
  quetzalvale-scenario (-h | --help)

The script starts processes, and all of them are ended when it ends. `require` finds modules in the
script's own folder.

Options:
  --programs=DIR      Folder of the built programs. Left out: the folder of this program.
  --root=DIR          Folder that holds settings/. [default: .]
  --log-level=LEVEL   debug, info, warning or error. [default: info]
  --seed=N            Seed of a randomized script. [default: 1]
  --seconds=S         For how long a randomized script disturbs the processes. [default: 10]
  --without=GUARD     Start the test variant of the agent or entry without this guard, such as
                      agent.is_sealed. The script must then fail.
  --violates=NUMBER   Guarantee by whose check the script must fail.
  -h --help           Show this text.

Exit codes: 0 the script succeeded, or failed as --violates demands; 1 it did not; 2 it could not be
run.
)";

constexpr std::size_t kLogLinesPerProcess = 60;

std::string ProgramsFolder(const docopt::value& option) {
  return option.isString() ? option.asString()
                           : std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

/// Whether a run without a guard failed by the guarantee's own check, not by a crash, a failed
/// start or a wait that timed out.
bool FailedAsExpected(const Status& status, ScenarioHost& host, const std::string& guarantee) {
  if (IsOk(status)) {
    std::cout << "the script succeeded without the guard" << std::endl;
    return false;
  }
  if (const auto crashed = host.FindCrashed()) {
    std::cout << *crashed << " crashed" << std::endl;
    return false;
  }
  return GetError(status).message.find("guarantee " + guarantee + " is violated: ") !=
         std::string::npos;
}

int RunScript(std::map<std::string, docopt::value> arguments) {
  const std::string file = arguments["SCRIPT"].asString();
  const auto& without = arguments["--without"];
  ScenarioHost host(ProgramsFolder(arguments["--programs"]),
                    without.isString() ? without.asString() : "");
  host.SetOptions(
      {arguments["--seed"].asLong(), static_cast<int>(arguments["--seconds"].asLong())});
  LuaScript script(std::filesystem::absolute(file).parent_path());
  RegisterHostFunctions(script, host, arguments["--root"].asString());
  const Status status = script.Run(file);
  if (without.isString() && FailedAsExpected(status, host, arguments["--violates"].asString())) {
    const std::string& message = GetError(status).message;
    std::cout << "failed as expected without " << without.asString() << ": "
              << message.substr(0, message.find('\n')) << std::endl;
    return 0;
  }
  if (IsOk(status)) {
    return without.isString() ? 1 : 0;
  }
  host.Folder().PrintLogs(std::cout, kLogLinesPerProcess);
  std::cout << "scenario failed: " << GetError(status).message << std::endl;
  return 1;
}

}  // namespace
}  // namespace quetzalvale

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(quetzalvale::kUsage, {argv + 1, argv + argc});
  const std::string level = arguments["--log-level"].asString();
  quetzalvale::InitLog("quetzalvale-scenario", quetzalvale::ParseLogLevel(level));
  try {
    return quetzalvale::RunScript(std::move(arguments));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
