/// How many processes have confirmed a version of a service's configuration.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>

namespace quetzalvale {

/// Collects the entries and agents whose versions the entries' status answers tell. A process that
/// several entries know counts once, with the highest version that any of them has heard.
class Confirmation {
 public:
  explicit Confirmation(std::string service);

  /// Adds one entry, its live peers and the agents that it uses, from the answer to GET
  /// /admin/v1/status.
  void Add(const Json::Value& status);

  std::size_t Processes() const { return this->versions.size(); }
  std::size_t Confirmed(std::uint64_t version) const;

 private:
  void AddProcess(const std::string& process, std::uint64_t version);

  std::string service;
  std::map<std::string, std::uint64_t> versions;
};

}  // namespace quetzalvale
