#include "runtime/log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <ctime>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "runtime/log_budget.h"
#include "runtime/ring.h"

INITIALIZE_EASYLOGGINGPP

namespace quetzalvale {
namespace {

void Write(LogLevel level, const std::string& line) {
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

const char* LevelText(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "DEBUG";
    case LogLevel::kInfo:
      return "INFO";
    case LogLevel::kWarning:
      return "WARNING";
    case LogLevel::kError:
      break;
  }
  return "ERROR";
}

/// Returns the calendar time as `2026-12-04T09:30:00.123`, in UTC.
std::string NowText() {
  constexpr int kMillisecondsPerSecond = 1000;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto total = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t seconds = total / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
  const std::string millis =
      std::to_string(total % kMillisecondsPerSecond + kMillisecondsPerSecond);
  return std::string(text.data(), length) + millis.substr(1);
}

/// Writes lines on a thread of its own, so that a blocked standard output delays nobody. Lines over
/// the budget of their event, or beyond the ring, are counted instead. Thread-safe.
class LogWriter {
 public:
  explicit LogWriter(std::string program) : program(std::move(program)), ring(kRingLines) {
    std::thread([this] { this->Run(); }).detach();
  }

  void Add(LogLevel level, int number, std::string line) {
    const auto now = std::chrono::steady_clock::now();
    std::vector<LogBudget::LeftOut> left_out;
    bool taken = false;
    {
      const std::lock_guard lock(this->mutex);
      taken = this->budget.Take(number, level >= LogLevel::kWarning, now);
      left_out = this->budget.TakeLeftOut(now);
    }
    for (const auto& event : left_out) {
      this->Push(LogLevel::kWarning,
                 "event=9000 log_lines_left_out of_event=" + std::to_string(event.event) +
                     " lines=" + std::to_string(event.lines));
    }
    if (taken) {
      this->Push(level, std::move(line));
    } else {
      ++this->missing;
    }
  }

  std::uint64_t Missing() const { return this->missing; }

  /// Waits until all lines are written, at most that long.
  void Flush(std::chrono::milliseconds patience) {
    constexpr std::chrono::milliseconds kLook{2};
    const auto until = std::chrono::steady_clock::now() + patience;
    while (this->unwritten > 0 && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(kLook);
    }
  }

 private:
  /// A few seconds of the most that the budgets of all usual events allow.
  static constexpr std::size_t kRingLines = 4096;
  /// Above the jobs that one entry answers a second, so that only floods are cut.
  static constexpr std::uint32_t kOrdinaryPerSecond = 200;
  static constexpr std::uint32_t kWarningsPerSecond = 200;

  struct Line {
    LogLevel level = LogLevel::kInfo;
    std::string text;
  };

  void Push(LogLevel level, std::string text) {
    ++this->unwritten;
    if (!this->ring.TryPush({level, NowText() + " " + LevelText(level) +
                                        " program=" + this->program + " " + std::move(text)})) {
      --this->unwritten;
      ++this->dropped;
      ++this->missing;
    }
  }

  void Run() {
    while (auto line = this->ring.Pop()) {
      if (const std::uint64_t lost = this->dropped.exchange(0)) {
        Write(LogLevel::kWarning,
              NowText() + " WARNING program=" + this->program +
                  " event=9001 log_lines_dropped lines=" + std::to_string(lost));
      }
      Write(line->level, line->text);
      --this->unwritten;
    }
  }

  std::string program;
  std::mutex mutex;
  LogBudget budget{kOrdinaryPerSecond, kWarningsPerSecond};
  /// Not yet told of in the log.
  std::atomic<std::uint64_t> dropped{0};
  std::atomic<std::uint64_t> missing{0};
  std::atomic<std::size_t> unwritten{0};
  Ring<Line> ring;
};

LogWriter* writer = nullptr;
std::atomic<LogLevel> lowest_level{LogLevel::kDebug};

}  // namespace

void InitLog(std::string_view program, LogLevel lowest) {
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  // The lines carry the time at which they were made, not at which they are written.
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureLogger("default", configuration);
  SetLogLevel(lowest);
  // Never destroyed: other threads log until the process ends.
  writer = new LogWriter(std::string(program));
}

// The library's own threshold is not used: it ranks information above warnings and errors.
void SetLogLevel(LogLevel lowest) { lowest_level = lowest; }

void Log(LogLevel level, int number, std::string_view name, std::string_view details) {
  if (level < lowest_level.load()) {
    return;
  }
  std::string line =
      "event=" + std::to_string(number) + " " + std::string(name) + " " + std::string(details);
  if (writer == nullptr) {
    Write(level, line);
  } else {
    writer->Add(level, number, std::move(line));
  }
}

void FlushLog(std::chrono::milliseconds patience) {
  if (writer != nullptr) {
    writer->Flush(patience);
  }
}

std::uint64_t MissingLogLines() { return writer == nullptr ? 0 : writer->Missing(); }

LogLevel ParseLogLevel(std::string_view text) {
  if (text == "debug") return LogLevel::kDebug;
  if (text == "warning") return LogLevel::kWarning;
  if (text == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

}  // namespace quetzalvale
