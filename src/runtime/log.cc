#include "runtime/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace quetzalvale {
namespace {

el::Level ToEasyLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return el::Level::Debug;
    case LogLevel::kInfo:
      return el::Level::Info;
    case LogLevel::kWarning:
      return el::Level::Warning;
    case LogLevel::kError:
      return el::Level::Error;
  }
  return el::Level::Info;
}

}  // namespace

void InitLog(std::string_view program, LogLevel lowest) {
  el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level program=" + std::string(program) + " %msg");
  el::Loggers::reconfigureLogger("default", configuration);
  el::Loggers::setLoggingLevel(ToEasyLevel(lowest));
}

void SetLogLevel(LogLevel lowest) { el::Loggers::setLoggingLevel(ToEasyLevel(lowest)); }

void Log(LogLevel level, int number, std::string_view name, std::string_view details) {
  const std::string line =
      "event=" + std::to_string(number) + " " + std::string(name) + " " + std::string(details);
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

LogLevel ParseLogLevel(std::string_view text) {
  if (text == "debug") return LogLevel::kDebug;
  if (text == "warning") return LogLevel::kWarning;
  if (text == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

}  // namespace quetzalvale
