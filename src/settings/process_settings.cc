#include "settings/process_settings.h"

#include <set>

#include "settings/address.h"
#include "settings/connection_limits.h"
#include "settings/schema_check.h"
#include "settings/settings_file.h"

namespace quetzalvale {
namespace {

/// Returns the schema of the document.
std::string Schema() {
  return R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["role", "name", "data_centre", "inner_address", "shared_key"],
  "properties": {
    "role": {"enum": ["entry", "agent"], "description": "entry or agent"},
    "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,100}$",
      "description": "1 to 100 letters, digits, dots, hyphens or underscores"},
    "data_centre": {"type": "string", "minLength": 1, "maxLength": 100,
      "description": "the name of the process's data centre"},
    "service": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,100}$",
      "description": "the name of the agent's service"},
    "services": {"type": "array", "minItems": 1, "maxItems": 1000,
      "description": "a list of names of services",
      "items": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,100}$",
        "description": "1 to 100 letters, digits, dots, hyphens or underscores"}},
    "caller_address": {"type": "string", "description": "IPv4:port, such as 10.0.0.5:8080"},
    "inner_address": {"type": "string", "description": "IPv4:port, such as 10.0.0.5:8081"},
    "advertised_address": {"type": "string", "description": "IPv4:port, such as 10.0.0.5:8081"},
    "platform": {"type": "string", "maxLength": 2000, "pattern": "^https?://[^ ]+$",
      "description": "the URL of the platform, such as http://10.0.0.9:7000"},
    "entries": {"type": "array", "maxItems": 10000,
      "description": "a list of inner addresses of entries",
      "items": {"type": "string", "description": "IPv4:port, such as 10.0.0.6:8081"}},
    "endpoint": {"type": "string", "maxLength": 2000, "pattern": "^https?://[^ ]+$",
      "description": "the URL of the endpoint, such as http://10.0.0.7:9000"},
    "worker": {"type": "object", "additionalProperties": false,
      "required": ["slots"],
      "description": "an object with slots, connections, cores, memory_mb and accelerators",
      "properties": {
        "slots": {"type": "integer", "minimum": 1, "maximum": 100000,
          "description": "the number of tasks that run at once, 1 to 100000"},
        "connections": {"type": "integer", "minimum": 1, "maximum": 1000000,
          "description": "the number of connections the endpoint takes, 1 to 1000000"},
        "cores": {"type": "number", "minimum": 0, "maximum": 100000,
          "description": "a number of cores, 0 to 100000"},
        "memory_mb": {"type": "integer", "minimum": 0, "maximum": 1000000000,
          "description": "megabytes of memory, 0 to 1000000000"},
        "accelerators": {"type": "integer", "minimum": 0, "maximum": 10000,
          "description": "a number of accelerators, 0 to 10000"}}},
    "shared_key": {"type": "string", "minLength": 1, "maxLength": 1000,
      "description": "the key that all processes share"},
    "administrators": {"type": "array", "maxItems": 1000,
      "description": "a list of objects with name and token_sha256",
      "items": {"type": "object", "additionalProperties": false,
        "required": ["name", "token_sha256"],
        "description": "an object with name and token_sha256",
        "properties": {
          "name": {"type": "string", "minLength": 1, "maxLength": 100,
            "description": "the name of the token's holder"},
          "token_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$",
            "description": "the token's SHA-256 as 64 lower-case hexadecimal digits"}}}},
    "limits": )" +
         std::string(kConnectionLimitsSchema) + R"(,
    "log_level": {"enum": ["debug", "info", "warning", "error"],
      "description": "debug, info, warning or error"}
  }
})";
}

void CheckAddress(const Json::Value& value, const std::string& path, ValidationErrors& errors) {
  if (value.isString() && !IsAddress(value.asString())) {
    errors.Add(path, "is not an address", "set it to IPv4:port, such as 10.0.0.5:8080");
  }
}

void Require(const Json::Value& document, const char* name, const char* role,
             ValidationErrors& errors) {
  if (!document.isMember(name)) {
    errors.Add(std::string("$.") + name, std::string("is missing, but ") + role + " needs it",
               "add it");
  }
}

void CheckRole(const Json::Value& document, ValidationErrors& errors) {
  if (document["role"] == "entry") {
    Require(document, "caller_address", "an entry", errors);
    Require(document, "services", "an entry", errors);
    Require(document, "platform", "an entry", errors);
  }
  if (document["role"] == "agent") {
    Require(document, "service", "an agent", errors);
    Require(document, "endpoint", "an agent", errors);
    Require(document, "entries", "an agent", errors);
    Require(document, "worker", "an agent", errors);
  }
  if (document.isMember("service") && document.isMember("services")) {
    errors.Add("$.services", "is given besides service", "keep one of the two");
  }
}

void CheckAdministrators(const Json::Value& list, ValidationErrors& errors) {
  std::set<std::string> names;
  for (Json::ArrayIndex i = 0; list.isArray() && i < list.size(); ++i) {
    const bool has_name = list[i].isObject() && list[i]["name"].isString();
    if (has_name && !names.insert(list[i]["name"].asString()).second) {
      errors.Add("$.administrators[" + std::to_string(i) + "].name", "is used twice",
                 "give each administrator a name of their own");
    }
  }
}

void CheckMeaning(const Json::Value& document, ValidationErrors& errors) {
  if (!document.isObject()) {
    return;
  }
  CheckRole(document, errors);
  CheckAddress(document["caller_address"], "$.caller_address", errors);
  CheckAddress(document["inner_address"], "$.inner_address", errors);
  CheckAddress(document["advertised_address"], "$.advertised_address", errors);
  const Json::Value& entries = document["entries"];
  for (Json::ArrayIndex i = 0; entries.isArray() && i < entries.size(); ++i) {
    CheckAddress(entries[i], "$.entries[" + std::to_string(i) + "]", errors);
  }
  const Json::Value& caller = document["caller_address"];
  if (caller.isString() && caller == document["inner_address"]) {
    errors.Add("$.inner_address", "equals caller_address", "give it a port of its own");
  }
  CheckAdministrators(document["administrators"], errors);
}

std::vector<std::string> Strings(const Json::Value& list) {
  std::vector<std::string> strings;
  for (const auto& element : list) {
    strings.push_back(element.asString());
  }
  return strings;
}

WorkerCapacity DecodeWorker(const Json::Value& document) {
  WorkerCapacity worker;
  worker.slots = document.get("slots", 0).asInt();
  worker.connections = document.get("connections", worker.slots).asInt();
  worker.cores = document.get("cores", 0).asDouble();
  worker.memory_mb = document.get("memory_mb", 0).asInt64();
  worker.accelerators = document.get("accelerators", 0).asInt();
  return worker;
}

/// Precondition: the document has been validated.
ProcessSettings Decode(const Json::Value& document) {
  ProcessSettings settings;
  settings.role = document["role"] == "agent" ? ProcessRole::kAgent : ProcessRole::kEntry;
  settings.name = document["name"].asString();
  settings.data_centre = document["data_centre"].asString();
  settings.services = document.isMember("service")
                          ? std::vector<std::string>{document["service"].asString()}
                          : Strings(document["services"]);
  settings.caller_address = document.get("caller_address", "").asString();
  settings.inner_address = document["inner_address"].asString();
  settings.advertised_address =
      document.get("advertised_address", settings.inner_address).asString();
  settings.platform = document.get("platform", "").asString();
  settings.entries = Strings(document["entries"]);
  settings.endpoint = document.get("endpoint", "").asString();
  settings.worker = DecodeWorker(document.get("worker", Json::Value(Json::objectValue)));
  settings.shared_key = document["shared_key"].asString();
  for (const auto& administrator : document["administrators"]) {
    settings.administrators.push_back(
        {administrator["name"].asString(), administrator["token_sha256"].asString()});
  }
  settings.limits = DecodeConnectionLimits(document["limits"]);
  settings.log_level = document.get("log_level", settings.log_level).asString();
  return settings;
}

}  // namespace

Result<ProcessSettings> DecodeProcessSettings(const Json::Value& document,
                                              const std::string& source) {
  ValidationErrors errors(source);
  CheckSchema(Schema(), document, errors);
  CheckMeaning(document, errors);
  if (!errors.IsEmpty()) {
    return Error{ErrorKind::kInvalidSettings, errors.Text()};
  }
  return Decode(document);
}

Result<ProcessSettings> LoadProcessSettings(const std::string& path) {
  const auto document = ReadSettingsFile(path);
  if (!IsOk(document)) {
    return GetError(document);
  }
  return DecodeProcessSettings(std::get<Json::Value>(document), path);
}

}  // namespace quetzalvale
