#include "ctl/confirmation.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

std::uint64_t VersionOf(const Json::Value& object) {
  const Json::Value& version = object["configuration_version"];
  return version.isUInt64() ? version.asUInt64() : 0;
}

}  // namespace

Confirmation::Confirmation(std::string service) : service(std::move(service)) {}

void Confirmation::Add(const Json::Value& status) {
  for (const Json::Value& listed : status["services"]) {
    if (listed["service"] != this->service) {
      continue;
    }
    this->AddProcess(status["entry"]["incarnation"].asString(), VersionOf(listed));
    for (const Json::Value& peer : listed["peers"]) {
      this->AddProcess(peer["incarnation"].asString(), VersionOf(peer));
    }
    for (const Json::Value& agent : listed["agents"]) {
      // Others report to this entry seldom, and one that is gone or going never confirms.
      const bool counts =
          agent["member"].asBool() && !agent["lost"].asBool() && !agent["leaving"].asBool();
      if (counts) {
        this->AddProcess(agent["incarnation"].asString(), VersionOf(agent));
      }
    }
  }
}

std::size_t Confirmation::Confirmed(std::uint64_t version) const {
  return static_cast<std::size_t>(
      std::count_if(this->versions.begin(), this->versions.end(),
                    [version](const auto& process) { return process.second >= version; }));
}

void Confirmation::AddProcess(const std::string& process, std::uint64_t version) {
  std::uint64_t& known = this->versions[process];
  known = std::max(known, version);
}

}  // namespace quetzalvale
