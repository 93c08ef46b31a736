/// JSON form of an entry's status.
#pragma once

#include <json/value.h>

#include <string>

#include "core/entry/entry_status.h"

namespace quetzalvale {

Json::Value RenderStatus(const std::string& name, const EntryStatus& status);

}  // namespace quetzalvale
