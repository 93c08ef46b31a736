/// Settings of one entry or agent process, from a JSON file.
#pragma once

#include <json/value.h>

#include <string>
#include <vector>

#include "core/messages.h"
#include "core/result.h"
#include "http/connection_table.h"

namespace quetzalvale {

enum class ProcessRole { kEntry, kAgent };

/// An operator who may use the administration interface.
struct Administrator {
  std::string name;
  /// 64 lower-case hexadecimal digits.
  std::string token_sha256;
};

/// Immutable once loaded. Fields that the role does not use are empty.
struct ProcessSettings {
  ProcessRole role = ProcessRole::kEntry;
  std::string name;
  std::string data_centre;
  /// An agent has exactly one.
  std::vector<std::string> services;
  std::string caller_address;
  std::string inner_address;
  /// Address that other processes are told to call. Differs from inner_address when a relay or an
  /// address translation stands in front of the process.
  std::string advertised_address;
  /// URL of the platform, such as `http://127.0.0.1:7000`.
  std::string platform;
  /// Inner addresses of entries to contact first.
  std::vector<std::string> entries;
  /// URL of the endpoint beside an agent.
  std::string endpoint;
  WorkerCapacity worker;
  /// Properties of an agent's machine, such as the name of its rack.
  std::vector<std::string> labels;
  /// Not a setting; see Announce.
  std::uint64_t endpoint_incarnation = 0;
  std::string shared_key;
  std::vector<Administrator> administrators;
  HttpLimits limits;
  /// debug, info, warning or error.
  std::string log_level = "info";
};

/// Reads and checks the file. The error lists everything that is wrong, each with its remedy.
Result<ProcessSettings> LoadProcessSettings(const std::string& path);

/// Checks and decodes settings already parsed; `source` names the file in errors.
Result<ProcessSettings> DecodeProcessSettings(const Json::Value& document,
                                              const std::string& source);

}  // namespace quetzalvale
