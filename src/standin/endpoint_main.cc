#include <docopt/docopt.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "http/http_server.h"
#include "runtime/log.h"
#include "runtime/signals.h"
#include "standin/endpoint_server.h"

namespace {

constexpr char kUsage[] = R"(Test stand-in of an endpoint and its worker.

Usage:
  standin-endpoint --address=IPV4:PORT [--slots=N] [--connections=N] [--speed=X] [--seed=N]
                   [--straggler-share=X] [--journal=FILE]
  standin-endpoint (-h | --help)

Options:
  --address=IPV4:PORT  Address to listen on.
  --slots=N            Tasks that run at a time [default: 8].
  --connections=N      Task requests that may be open at a time [default: 64].
  --speed=X            Divides the run times [default: 1].
  --seed=N             Seed for choosing stragglers [default: 1].
  --straggler-share=X  Share of tasks that take ten times as long [default: 0].
  --journal=FILE       Also write every start and end to this file.
)";

constexpr int kHttpThreads = 4;

using Options = std::map<std::string, docopt::value>;

double Number(const Options& options, const std::string& name) {
  return std::stod(options.at(name).asString());
}

quetzalvale::EndpointOptions ReadOptions(const Options& options) {
  quetzalvale::EndpointOptions read;
  read.slots = std::stoi(options.at("--slots").asString());
  read.connections = std::stoi(options.at("--connections").asString());
  read.seed = std::stoull(options.at("--seed").asString());
  return read;
}

quetzalvale::EndpointControl ReadControl(const Options& options) {
  quetzalvale::EndpointControl read;
  read.speed = Number(options, "--speed");
  read.straggler_share = Number(options, "--straggler-share");
  if (read.speed <= 0) {
    throw std::invalid_argument("--speed must be above 0");
  }
  return read;
}

int Run(const Options& options) {
  quetzalvale::EndpointJournal journal(std::chrono::steady_clock::now(),
                                       std::chrono::system_clock::now());
  if (options.at("--journal").isString() && !journal.WriteTo(options.at("--journal").asString())) {
    quetzalvale::Log(quetzalvale::LogLevel::kError, 4004, "journal_failed",
                     "file=" + options.at("--journal").asString());
    return EXIT_FAILURE;
  }
  const std::string address = options.at("--address").asString();
  quetzalvale::EndpointServer server(address, ReadOptions(options), ReadControl(options), journal);
  const std::string problem = server.Start();
  if (!problem.empty()) {
    quetzalvale::Log(quetzalvale::LogLevel::kError, 4002, "listen_failed",
                     "address=" + address + " reason=" + problem);
    return EXIT_FAILURE;
  }
  quetzalvale::Log(quetzalvale::LogLevel::kInfo, 4000, "endpoint_ready", "address=" + address);
  quetzalvale::WaitForStopSignal();
  server.Stop();
  quetzalvale::Log(quetzalvale::LogLevel::kInfo, 4001, "endpoint_stopped",
                   "starts=" + std::to_string(journal.Size()));
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  quetzalvale::BlockStopSignals();
  const auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
  quetzalvale::InitLog("standin-endpoint", quetzalvale::LogLevel::kInfo);
  quetzalvale::InitHttpThreads(kHttpThreads);
  try {
    return Run(options);
  } catch (const std::exception& malformed) {
    std::cerr << "an option has no valid value: " << malformed.what() << "\n";
    return EXIT_FAILURE;
  }
}
