/// The operators' document that configures one service.
#pragma once

#include <json/value.h>

#include <string>

#include "core/result.h"
#include "core/service_configuration.h"

namespace quetzalvale {

/// Checks and decodes the document; members left out have the defaults of ServiceConfiguration.
/// The version stays zero. The error lists everything that is wrong, each with its remedy;
/// `source` is the file or platform row that errors name.
Result<ServiceConfiguration> DecodeServiceDocument(const Json::Value& document,
                                                   const std::string& source);

}  // namespace quetzalvale
