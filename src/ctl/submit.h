/// `quetzalvale-ctl submit`: submits one job and prints its answer.
#pragma once

#include <json/value.h>

#include <chrono>
#include <optional>
#include <string>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace quetzalvale {

/// Submits the job under one ticket. When a connection breaks, the same ticket is submitted again
/// through the next entry, so no task starts twice. A new ticket is taken only after a refusal that
/// says that nothing ran.
class Submit {
 public:
  struct Options {
    std::string file;
    std::string service;
    std::string team;
    std::string kind;
    /// Zero: the kind's default.
    std::chrono::milliseconds deadline{0};
    /// How long to go on resubmitting.
    std::chrono::milliseconds timeout{60000};
  };

  Submit(Session& session, Options options);

  ExitCode Run();

 private:
  /// Returns nothing after printing the error.
  std::optional<Json::Value> LoadJob();
  Result<std::string> TakeTicket();
  ExitCode SubmitUntilAnswered(Json::Value job);
  ExitCode Report(const Json::Value& answer);
  /// The entry that the next attempt goes to.
  const std::string& NextEntry();

  Session& session;
  Options options;
  std::size_t attempts = 0;
};

}  // namespace quetzalvale
