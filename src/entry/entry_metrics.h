/// Text of an entry's /metrics.
#pragma once

#include <cstdint>
#include <string>

#include "core/entry/entry_status.h"
#include "runtime/metrics.h"

namespace quetzalvale {

/// Adds the status, `messages_sent` and the process's CPU time and memory to the metrics, and
/// returns their text.
std::string RenderMetrics(Metrics& metrics, const EntryStatus& status, std::uint64_t messages_sent);

}  // namespace quetzalvale
