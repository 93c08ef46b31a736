/// Catalogue of the metrics that the processes serve.
#pragma once

#include <string_view>

namespace quetzalvale {

/// Returns what the metric tells, for its HELP line; an empty text for names that are not in the
/// catalogue.
std::string_view MetricHelp(std::string_view name);

}  // namespace quetzalvale
