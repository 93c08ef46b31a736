/// Log lines and metrics of refused and closed connections.
#pragma once

#include "http/connection_table.h"

namespace quetzalvale {

class Metrics;

/// Logs every event of the table from now on, within the log's budget for each kind.
void LogConnectionEvents(ConnectionTable& table);

/// Sets the counters of the table's events.
void ReportConnections(const ConnectionTable& table, Metrics& metrics);

}  // namespace quetzalvale
