/// Keeps an unexpected exception from ending the process.
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace quetzalvale {

/// Logs the exception and counts it. `where` names the thread or the handler. Thread-safe.
void ReportUnexpectedError(std::string_view where, std::string_view problem);

/// Returns how many exceptions were reported so far. Thread-safe.
std::uint64_t UnexpectedErrors();

/// Calls `work`, and reports an exception that leaves it: a fault in the handling of one message
/// must cost that message only. Returns whether `work` returned normally.
template <typename Work>
bool RunGuarded(std::string_view where, Work&& work) {
  try {
    work();
    return true;
  } catch (const std::exception& failure) {
    ReportUnexpectedError(where, failure.what());
  } catch (...) {
    ReportUnexpectedError(where, "an exception of unknown type");
  }
  return false;
}

}  // namespace quetzalvale
