#include "runtime/guard.h"

#include <atomic>
#include <string>

#include "runtime/log.h"

namespace quetzalvale {
namespace {

std::atomic<std::uint64_t>& Count() {
  static std::atomic<std::uint64_t> count{0};
  return count;
}

}  // namespace

void ReportUnexpectedError(std::string_view where, std::string_view problem) {
  ++Count();
  Log(LogLevel::kError, 9002, "unexpected_error",
      "where=" + std::string(where) + " problem=\"" + std::string(problem) + "\"");
}

std::uint64_t UnexpectedErrors() { return Count().load(); }

}  // namespace quetzalvale
