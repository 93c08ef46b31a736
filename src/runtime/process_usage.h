/// Processor time and memory of this process.
#pragma once

#include <cstdint>

namespace quetzalvale {

class Metrics;

struct ProcessUsage {
  double cpu_seconds = 0;
  std::uint64_t resident_bytes = 0;
};

/// Reads the operating system's figures.
ProcessUsage ReadProcessUsage();

/// Sets the metrics of the process itself: processor time, memory and missing log lines.
void ReportProcess(Metrics& metrics);

}  // namespace quetzalvale
