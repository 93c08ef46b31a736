/// JSON form of an entry's status.
#pragma once

#include <json/value.h>

#include "core/entry_status.h"

namespace quetzalvale {

Json::Value RenderStatus(const EntryStatus& status);

}  // namespace quetzalvale
