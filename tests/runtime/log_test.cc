#include "runtime/log.h"

#include <gtest/gtest.h>

#include <string>

namespace quetzalvale {
namespace {

constexpr std::chrono::seconds kTestTimeout{20};

// The logging library ranks information above warnings and errors. With the level set there as
// well, `info` left out every warning and error, such as those of orders that a worker left
// unanswered.
TEST(LogTest, LevelInfoWritesWarningsAndErrors) {
  InitLog("log-test", LogLevel::kInfo);
  testing::internal::CaptureStdout();
  Log(LogLevel::kDebug, 1, "debug_event", "");
  Log(LogLevel::kInfo, 2, "info_event", "");
  Log(LogLevel::kWarning, 3, "warning_event", "");
  Log(LogLevel::kError, 4, "error_event", "");
  FlushLog(kTestTimeout);
  const std::string output = testing::internal::GetCapturedStdout();
  EXPECT_EQ(output.find("debug_event"), std::string::npos);
  EXPECT_NE(output.find("info_event"), std::string::npos);
  EXPECT_NE(output.find("warning_event"), std::string::npos);
  EXPECT_NE(output.find("error_event"), std::string::npos);
}

}  // namespace
}  // namespace quetzalvale
