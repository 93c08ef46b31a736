/// The object `limits` of a settings file.
#pragma once

#include <json/value.h>

#include <string_view>

#include "http/connection_table.h"

namespace quetzalvale {

/// JSON schema of the object.
inline constexpr std::string_view kConnectionLimitsSchema =
    R"({"type": "object", "additionalProperties": false,
      "description": "an object with connections, connection_bytes, total_bytes, header_ms, transfer_ms and idle_ms, all optional",
      "properties": {
        "connections": {"type": "integer", "minimum": 16, "maximum": 1000000,
          "description": "connections accepted at once, 16 to 1000000"},
        "connection_bytes": {"type": "integer", "minimum": 65536, "maximum": 1073741824,
          "description": "bytes, 65536 to 1073741824"},
        "total_bytes": {"type": "integer", "minimum": 1048576, "maximum": 1073741824,
          "description": "bytes, 1048576 to 1073741824"},
        "header_ms": {"type": "integer", "minimum": 100, "maximum": 3600000,
          "description": "milliseconds, 100 to 3600000"},
        "transfer_ms": {"type": "integer", "minimum": 100, "maximum": 3600000,
          "description": "milliseconds, 100 to 3600000"},
        "idle_ms": {"type": "integer", "minimum": 100, "maximum": 3600000,
          "description": "milliseconds, 100 to 3600000"}}})";

/// Members that are missing have the default of HttpLimits. Precondition: the schema holds, or the
/// document is null.
HttpLimits DecodeConnectionLimits(const Json::Value& document);

}  // namespace quetzalvale
