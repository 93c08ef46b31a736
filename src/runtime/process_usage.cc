#include "runtime/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

#include "runtime/guard.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

namespace quetzalvale {
namespace {

double Seconds(const timeval& time) {
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * kMicrosecond;
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage usage;
  rusage spent{};
  if (getrusage(RUSAGE_SELF, &spent) == 0) {
    usage.cpu_seconds = Seconds(spent.ru_utime) + Seconds(spent.ru_stime);
  }
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  usage.resident_bytes = resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

void ReportProcess(Metrics& metrics) {
  const ProcessUsage usage = ReadProcessUsage();
  metrics.SetTotal("process_cpu_seconds_total", usage.cpu_seconds);
  metrics.Set("process_resident_memory_bytes", static_cast<double>(usage.resident_bytes));
  metrics.SetTotal("log_lines_dropped_total", static_cast<double>(MissingLogLines()));
  metrics.SetTotal("unexpected_errors_total", static_cast<double>(UnexpectedErrors()));
}

}  // namespace quetzalvale
