/// Interpretation of the platform's HTTP answers.
#pragma once

#include <json/value.h>

#include "http/http_client.h"
#include "store/table_client.h"

namespace quetzalvale {

/// Returns the JSON of a 200, or what the failure means for a request that may have been applied.
PlatformResult<Json::Value> InterpretReply(const HttpResult& result);

/// Returns the failure of any result but a 200.
std::optional<PlatformError> FailureOf(const HttpResult& result);

/// Returns whether the platform answered that there is no such row or object.
bool IsNotFound(const HttpResult& result);

}  // namespace quetzalvale
