/// Structured logging: numbered events through easylogging++. Catalogue in docs/events.md.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalvale {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging to standard output for this process: lines are written on a thread of their own,
/// within a budget a second for each event. Call once, after signals are blocked and before other
/// threads start. Without it, Log writes at once.
void InitLog(std::string_view program, LogLevel lowest);

/// Changes the lowest level that is logged. Thread-safe.
void SetLogLevel(LogLevel lowest);

/// Writes `event=NUMBER NAME DETAILS`, where details are `key=value` pairs. Thread-safe.
void Log(LogLevel level, int number, std::string_view name, std::string_view details);

/// Waits until all lines are written, at most that long. Call before the process ends.
void FlushLog(std::chrono::milliseconds patience = std::chrono::milliseconds(200));

/// Returns how many lines were not written so far, over a budget or beyond the writer's ring.
/// Thread-safe.
std::uint64_t MissingLogLines();

/// Parses debug, info, warning or error; anything else gives info.
LogLevel ParseLogLevel(std::string_view text);

}  // namespace quetzalvale
