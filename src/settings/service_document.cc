#include "settings/service_document.h"

#include <set>

#include "settings/schema_check.h"

namespace quetzalvale {
namespace {

constexpr std::string_view kSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["service", "kinds", "teams"],
  "properties": {
    "service": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,100}$",
      "description": "1 to 100 letters, digits, dots, hyphens or underscores"},
    "objective": {"enum": ["response_time", "messages"],
      "description": "response_time or messages"},
    "endpoints": {"type": "array", "minItems": 1, "maxItems": 10000,
      "description": "a list of name patterns",
      "items": {"type": "string", "pattern": "^[A-Za-z0-9._*-]{1,100}$",
        "description": "a name of letters, digits, dots, hyphens, underscores and *"}},
    "kinds": {"type": "array", "minItems": 1, "maxItems": 10000,
      "description": "a list of kinds with at least one member",
      "items": {"type": "object", "additionalProperties": false, "required": ["name"],
        "description": 
          "an object with name, urgency, deadline_ms, expected_ms, honest_sizes, attempts, target_stretch, target_slack_ms and late_factor",
        "properties": {
          "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,100}$",
            "description": "1 to 100 letters, digits, dots, hyphens or underscores"},
          "urgency": {"type": "integer", "minimum": 0, "maximum": 1000,
            "description": "0 (most urgent) to 1000"},
          "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 86400000,
            "description": "milliseconds, 1 to 86400000"},
          "expected_ms": {"type": "integer", "minimum": 1, "maximum": 86400000,
            "description": "milliseconds, 1 to 86400000"},
          "honest_sizes": {"type": "boolean", "description": "true or false"},
          "attempts": {"type": "integer", "minimum": 1, "maximum": 100,
            "description": "runs of one task, 1 to 100"},
          "target_stretch": {"type": "number", "minimum": 0, "maximum": 1000,
            "description": "a multiple of the longest task, 0 (no target) to 1000"},
          "target_slack_ms": {"type": "integer", "minimum": 0, "maximum": 86400000,
            "description": "milliseconds, 0 to 86400000"},
          "late_factor": {"type": "number", "minimum": 1, "maximum": 1000,
            "description": "a multiple of the target, 1 to 1000"}}}},
    "teams": {"type": "array", "minItems": 1, "maxItems": 10000,
      "description": "a list of teams with at least one member",
      "items": {"type": "object", "additionalProperties": false, "required": ["name"],
        "description": "an object with name and tasks_per_second",
        "properties": {
          "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,100}$",
            "description": "1 to 100 letters, digits, dots, hyphens or underscores"},
          "tasks_per_second": {"type": "number", "minimum": 0, "maximum": 10000000,
            "description": "a rate from 0 (no quota) to 10000000"}}}},
    "worker_limits": {"type": "object", "additionalProperties": false,
      "description": "an object with cores, memory_mb and accelerators",
      "properties": {
        "cores": {"type": "number", "minimum": 0, "maximum": 100000,
          "description": "a number of cores, 0 to 100000"},
        "memory_mb": {"type": "integer", "minimum": 0, "maximum": 1000000000,
          "description": "megabytes of memory, 0 to 1000000000"},
        "accelerators": {"type": "integer", "minimum": 0, "maximum": 10000,
          "description": "a number of accelerators, 0 to 10000"}}},
    "limits": {"type": "object", "additionalProperties": false,
      "description": "an object with tasks_per_job, body_bytes and queued_tasks",
      "properties": {
        "tasks_per_job": {"type": "integer", "minimum": 1, "maximum": 100000,
          "description": "1 to 100000"},
        "body_bytes": {"type": "integer", "minimum": 100, "maximum": 33554432,
          "description": "bytes, 100 to 33554432"},
        "queued_tasks": {"type": "integer", "minimum": 1, "maximum": 10000000,
          "description": "1 to 10000000"}}},
    "placement": {
      "enum": ["default", "random", "round_robin", "least_outstanding", "power_of_two"],
      "description": "default, random, round_robin, least_outstanding or power_of_two"},
    "batching": {"type": "object", "additionalProperties": false,
      "description": "an object with start_delay_us, outcome_delay_ms and batch_tasks",
      "properties": {
        "start_delay_us": {"type": "integer", "minimum": 0, "maximum": 1000000,
          "description": "microseconds, 0 to 1000000"},
        "outcome_delay_ms": {"type": "integer", "minimum": 0, "maximum": 10000,
          "description": "milliseconds, 0 to 10000"},
        "batch_tasks": {"type": "integer", "minimum": 1, "maximum": 10000,
          "description": "1 to 10000"}}},
    "tickets": {"type": "object", "additionalProperties": false,
      "description": "an object with block, valid_s, answers_kept and answer_kept_s",
      "properties": {
        "block": {"type": "integer", "minimum": 1, "maximum": 100000,
          "description": "1 to 100000"},
        "valid_s": {"type": "integer", "minimum": 1, "maximum": 604800,
          "description": "seconds, 1 to 604800"},
        "answers_kept": {"type": "integer", "minimum": 0, "maximum": 10000000,
          "description": "0 to 10000000"},
        "answer_kept_s": {"type": "integer", "minimum": 0, "maximum": 604800,
          "description": "seconds, 0 to 604800"}}},
    "health": {"type": "object", "additionalProperties": false,
      "description":
        "an object with intervals of heartbeats, agent_lost_ms, agent_dead_ms, eject_after, probe_after_ms",
      "properties": {
        "heartbeat_ms": {"type": "integer", "minimum": 10, "maximum": 3600000,
          "description": "milliseconds, 10 to 3600000"},
        "idle_heartbeat_ms": {"type": "integer", "minimum": 10, "maximum": 3600000,
          "description": "milliseconds, 10 to 3600000"},
        "distant_heartbeat_ms": {"type": "integer", "minimum": 10, "maximum": 3600000,
          "description": "milliseconds, 10 to 3600000"},
        "agent_lost_ms": {"type": "integer", "minimum": 10, "maximum": 3600000,
          "description": "milliseconds, 10 to 3600000"},
        "agent_dead_ms": {"type": "integer", "minimum": 10, "maximum": 86400000,
          "description": "milliseconds, 10 to 86400000"},
        "eject_after": {"type": "integer", "minimum": 1, "maximum": 100000,
          "description": "consecutive failures, 1 to 100000"},
        "probe_after_ms": {"type": "integer", "minimum": 1, "maximum": 3600000,
          "description": "milliseconds, 1 to 3600000"}}},
    "lease_ms": {"type": "integer", "minimum": 30, "maximum": 3600000,
      "description": "milliseconds, 30 to 3600000"},
    "agent_queue": {"type": "integer", "minimum": 0, "maximum": 10000,
      "description": "0 to 10000"},
    "retry_share": {"type": "number", "minimum": 0, "maximum": 10, "description": "0 to 10"},
    "subset_size": {"type": "integer", "minimum": 1, "maximum": 100000,
      "description": "1 to 100000"},
    "remote_data_factor": {"type": "number", "minimum": 1, "maximum": 1000,
      "description": "run time on another rack than the data's over that near the data, 1 to 1000"},
    "overload": {"type": "object", "additionalProperties": false,
      "description": "an object with select",
      "properties": {
        "select": {"type": "boolean", "description": "true or false"}}}
  }
})";

/// A lease outlives this many heartbeats, so that a lost renewal or two does not stop a task.
constexpr int kHeartbeatsPerLease = 3;

void CheckNames(const Json::Value& list, const std::string& path, ValidationErrors& errors) {
  std::set<std::string> names;
  for (Json::ArrayIndex i = 0; list.isArray() && i < list.size(); ++i) {
    const bool has_name = list[i].isObject() && list[i]["name"].isString();
    if (has_name && !names.insert(list[i]["name"].asString()).second) {
      errors.Add(path + "[" + std::to_string(i) + "].name",
                 "repeats the name " + list[i]["name"].asString(),
                 "give each member a name of its own");
    }
  }
}

const Json::Value& Member(const Json::Value& object, const char* name) {
  return object.isObject() ? object[name] : Json::Value::nullSingleton();
}

/// Returns the number at `name`, the default when it is left out, and nothing when it is malformed.
std::optional<std::int64_t> Number(const Json::Value& object, const char* name,
                                   std::int64_t fallback) {
  const Json::Value& value = Member(object, name);
  if (value.isNull()) {
    return fallback;
  }
  return value.isInt64() ? std::optional(value.asInt64()) : std::nullopt;
}

void CheckTimes(const Json::Value& document, ValidationErrors& errors) {
  const ServiceConfiguration defaults;
  const Json::Value& health = Member(document, "health");
  const auto heartbeat = Number(health, "heartbeat_ms", defaults.health.heartbeat.count());
  const auto idle = Number(health, "idle_heartbeat_ms", defaults.health.idle_heartbeat.count());
  const auto distant =
      Number(health, "distant_heartbeat_ms", defaults.health.distant_heartbeat.count());
  const auto lost = Number(health, "agent_lost_ms", defaults.health.agent_lost.count());
  const auto dead = Number(health, "agent_dead_ms", defaults.health.agent_dead.count());
  const auto lease = Number(document, "lease_ms", defaults.lease.count());
  if (heartbeat && lost && *heartbeat >= *lost) {
    errors.Add("$.health.heartbeat_ms", "is not below agent_lost_ms, " + std::to_string(*lost),
               "lower it or raise agent_lost_ms");
  }
  if (heartbeat && idle && *heartbeat > *idle) {
    errors.Add("$.health.idle_heartbeat_ms", "is below heartbeat_ms, " + std::to_string(*heartbeat),
               "raise it or lower heartbeat_ms");
  }
  if (idle && distant && *idle > *distant) {
    errors.Add("$.health.distant_heartbeat_ms",
               "is below idle_heartbeat_ms, " + std::to_string(*idle),
               "raise it or lower idle_heartbeat_ms");
  }
  if (lost && dead && *lost >= *dead) {
    errors.Add("$.health.agent_lost_ms", "is not below agent_dead_ms, " + std::to_string(*dead),
               "lower it or raise agent_dead_ms");
  }
  if (heartbeat && lease && *lease < kHeartbeatsPerLease * *heartbeat) {
    errors.Add("$.lease_ms", "is shorter than three heartbeats of " + std::to_string(*heartbeat),
               "raise it or lower health.heartbeat_ms");
  }
}

template <typename T>
void Read(const Json::Value& object, const char* name, T& value) {
  const Json::Value& json = Member(object, name);
  if (json.isNull()) {
    return;
  }
  if constexpr (std::is_same_v<T, std::string>) {
    value = json.asString();
  } else if constexpr (std::is_floating_point_v<T>) {
    value = json.asDouble();
  } else if constexpr (std::is_integral_v<T>) {
    value = static_cast<T>(json.asInt64());
  } else {
    value = T(json.asInt64());
  }
}

PlacementPolicy DecodePlacement(const std::string& text) {
  if (text == "random") return PlacementPolicy::kRandom;
  if (text == "round_robin") return PlacementPolicy::kRoundRobin;
  if (text == "least_outstanding") return PlacementPolicy::kLeastOutstanding;
  if (text == "power_of_two") return PlacementPolicy::kPowerOfTwo;
  return PlacementPolicy::kDefault;
}

void DecodeLists(const Json::Value& document, ServiceConfiguration& configuration) {
  if (document.isMember("endpoints")) {
    configuration.endpoints.clear();
  }
  for (const auto& pattern : document["endpoints"]) {
    configuration.endpoints.push_back(pattern.asString());
  }
  for (const auto& json : document["kinds"]) {
    KindConfiguration& kind = configuration.kinds.emplace_back();
    Read(json, "name", kind.name);
    Read(json, "urgency", kind.urgency);
    Read(json, "deadline_ms", kind.deadline);
    Read(json, "expected_ms", kind.expected);
    Read(json, "honest_sizes", kind.honest_sizes);
    Read(json, "attempts", kind.attempts);
    Read(json, "target_stretch", kind.target_stretch);
    Read(json, "target_slack_ms", kind.target_slack);
    Read(json, "late_factor", kind.late_factor);
  }
  for (const auto& json : document["teams"]) {
    TeamConfiguration& team = configuration.teams.emplace_back();
    Read(json, "name", team.name);
    Read(json, "tasks_per_second", team.tasks_per_second);
  }
}

void DecodeGroups(const Json::Value& document, ServiceConfiguration& configuration) {
  const Json::Value& worker = document["worker_limits"];
  Read(worker, "cores", configuration.worker_limits.cores);
  Read(worker, "memory_mb", configuration.worker_limits.memory_mb);
  Read(worker, "accelerators", configuration.worker_limits.accelerators);
  const Json::Value& limits = document["limits"];
  Read(limits, "tasks_per_job", configuration.limits.tasks_per_job);
  Read(limits, "body_bytes", configuration.limits.body_bytes);
  Read(limits, "queued_tasks", configuration.limits.queued_tasks);
  const Json::Value& batching = document["batching"];
  Read(batching, "start_delay_us", configuration.batching.start_delay);
  Read(batching, "outcome_delay_ms", configuration.batching.outcome_delay);
  Read(batching, "batch_tasks", configuration.batching.batch_tasks);
  const Json::Value& tickets = document["tickets"];
  Read(tickets, "block", configuration.tickets.block);
  Read(tickets, "valid_s", configuration.tickets.valid);
  Read(tickets, "answers_kept", configuration.tickets.answers_kept);
  Read(tickets, "answer_kept_s", configuration.tickets.answer_kept);
  const Json::Value& health = document["health"];
  Read(health, "heartbeat_ms", configuration.health.heartbeat);
  Read(health, "idle_heartbeat_ms", configuration.health.idle_heartbeat);
  Read(health, "distant_heartbeat_ms", configuration.health.distant_heartbeat);
  Read(health, "agent_lost_ms", configuration.health.agent_lost);
  Read(health, "agent_dead_ms", configuration.health.agent_dead);
  Read(health, "eject_after", configuration.health.eject_after);
  Read(health, "probe_after_ms", configuration.health.probe_after);
}

/// Precondition: the document has been validated.
ServiceConfiguration Decode(const Json::Value& document) {
  ServiceConfiguration configuration;
  Read(document, "service", configuration.service);
  if (document["objective"] == "messages") {
    configuration.objective = Objective::kMessages;
  }
  DecodeLists(document, configuration);
  DecodeGroups(document, configuration);
  configuration.placement = DecodePlacement(document.get("placement", "default").asString());
  Read(document, "lease_ms", configuration.lease);
  Read(document, "agent_queue", configuration.agent_queue);
  Read(document, "retry_share", configuration.retry_share);
  Read(document, "subset_size", configuration.subset_size);
  Read(document, "remote_data_factor", configuration.remote_data_factor);
  Read(document["overload"], "select", configuration.overload.select);
  return configuration;
}

}  // namespace

Result<ServiceConfiguration> DecodeServiceDocument(const Json::Value& document,
                                                   const std::string& source) {
  ValidationErrors errors(source);
  CheckSchema(kSchema, document, errors);
  CheckNames(Member(document, "kinds"), "$.kinds", errors);
  CheckNames(Member(document, "teams"), "$.teams", errors);
  CheckTimes(document, errors);
  if (!errors.IsEmpty()) {
    return Error{ErrorKind::kInvalidSettings, errors.Text()};
  }
  return Decode(document);
}

}  // namespace quetzalvale
