#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

#include "runtime/log.h"
#include "runtime/signals.h"
#include "standin/platform_server.h"

namespace {

constexpr char kUsage[] = R"(Test stand-in of the platform's table service and object store.

Usage:
  standin-platform --address=IPV4:PORT
  standin-platform (-h | --help)

Options:
  --address=IPV4:PORT  Address to listen on.
)";

constexpr int kHttpThreads = 4;

}  // namespace

int main(int argc, char** argv) {
  quetzalvale::BlockStopSignals();
  quetzalvale::InitLog("standin-platform", quetzalvale::LogLevel::kInfo);
  quetzalvale::InitHttpThreads(kHttpThreads);
  const auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const std::string address = options.at("--address").asString();
  quetzalvale::PlatformServer server(address);
  const std::string problem = server.Start();
  if (!problem.empty()) {
    quetzalvale::Log(quetzalvale::LogLevel::kError, 4102, "listen_failed",
                     "address=" + address + " reason=" + problem);
    return EXIT_FAILURE;
  }
  quetzalvale::Log(quetzalvale::LogLevel::kInfo, 4100, "standin_ready", "address=" + address);
  quetzalvale::WaitForStopSignal();
  server.Stop();
  return EXIT_SUCCESS;
}
