/// Faults that tests switch in the endpoint stand-in.
#pragma once

#include <json/value.h>

#include <cstdint>

#include "core/result.h"

namespace quetzalvale {

/// Behaviour that tests switch while the stand-in runs.
struct EndpointControl {
  /// Run times are divided by this.
  double speed = 1;
  /// Share of the tasks whose run time is multiplied by the factor.
  double straggler_share = 0;
  double straggler_factor = 10;
  /// Every task ends at once and failed.
  bool fail_everything = false;
  /// Holds all answers until it is switched off; the work goes on.
  bool frozen = false;
  /// Breaks the connection off after the start is recorded; the work goes on.
  bool drop_after_start = false;
  std::int64_t added_latency_ms = 0;
};

/// Changes the members that are given. The error says which one is wrong.
Result<EndpointControl> ChangeControl(EndpointControl control, const Json::Value& changes);
Json::Value ControlToJson(const EndpointControl& control);

}  // namespace quetzalvale
