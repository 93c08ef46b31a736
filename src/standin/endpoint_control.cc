#include "standin/endpoint_control.h"

#include <string>
#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

void Read(const Json::Value& json, double* value, bool* ok) {
  *ok = *ok && json.isNumeric() && json.asDouble() >= 0;
  *value = *ok ? json.asDouble() : *value;
}

void Read(const Json::Value& json, std::int64_t* value, bool* ok) {
  *ok = *ok && json.isInt64() && json.asInt64() >= 0;
  *value = *ok ? json.asInt64() : *value;
}

void Read(const Json::Value& json, bool* value, bool* ok) {
  *ok = *ok && json.isBool();
  *value = *ok ? json.asBool() : *value;
}

/// Calls visit(name, member) for every member.
template <typename Control, typename Visit>
void VisitControl(Control& control, const Visit& visit) {
  visit("speed", control.speed);
  visit("straggler_share", control.straggler_share);
  visit("straggler_factor", control.straggler_factor);
  visit("fail_everything", control.fail_everything);
  visit("frozen", control.frozen);
  visit("drop_after_start", control.drop_after_start);
  visit("added_latency_ms", control.added_latency_ms);
}

}  // namespace

Result<EndpointControl> ChangeControl(EndpointControl control, const Json::Value& changes) {
  if (!changes.isObject()) {
    return Error{ErrorKind::kMalformed, "the body must be an object of switches"};
  }
  std::string problem;
  std::size_t known = 0;
  VisitControl(control, [&](const char* name, auto& member) {
    if (!changes.isMember(name)) {
      return;
    }
    ++known;
    bool ok = true;
    Read(changes[name], &member, &ok);
    if (!ok) {
      problem = std::string(name) + " has the wrong type or is negative";
    }
  });
  if (known != changes.size()) {
    problem = "an unknown switch is given; GET /control lists all";
  }
  if (control.speed <= 0) {
    problem = "speed must be above 0";
  }
  if (!problem.empty()) {
    return Error{ErrorKind::kMalformed, problem};
  }
  return control;
}

Json::Value ControlToJson(const EndpointControl& control) {
  Json::Value json;
  VisitControl(control, [&](const char* name, const auto& member) { json[name] = Encode(member); });
  return json;
}

}  // namespace quetzalvale
