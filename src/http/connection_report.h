/// Log lines and metrics of refused and closed connections.
#pragma once

#include "http/connection_table.h"

namespace quetzalvale {

class Metrics;

/// Sets the limits of the process's table, and logs its events from now on, within the log's budget
/// for each kind. Call before the first server starts.
void ApplyConnectionLimits(const HttpLimits& limits);

/// Sets the counters of the table's events.
void ReportConnections(const ConnectionTable& table, Metrics& metrics);

}  // namespace quetzalvale
