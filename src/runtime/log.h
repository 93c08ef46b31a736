/// Structured logging: numbered events through easylogging++. Catalogue in docs/events.md.
#pragma once

#include <string>
#include <string_view>

namespace quetzalvale {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up logging to standard output for this process. Call once, before any thread starts.
void InitLog(std::string_view program, LogLevel lowest);

/// Changes the lowest level that is logged. Thread-safe.
void SetLogLevel(LogLevel lowest);

/// Writes `event=NUMBER NAME DETAILS`, where details are `key=value` pairs. Thread-safe.
void Log(LogLevel level, int number, std::string_view name, std::string_view details);

/// Parses debug, info, warning or error; anything else gives info.
LogLevel ParseLogLevel(std::string_view text);

}  // namespace quetzalvale
