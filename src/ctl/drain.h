/// `quetzalvale-ctl drain`: starts the graceful shutdown of an entry or agent.
#pragma once

#include <string>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace quetzalvale {

class Drain {
 public:
  enum class Target { kEntry, kAgent };

  /// `name` is the process's `name` setting; an entry may also be named by its caller address.
  Drain(Session& session, Target target, std::string name);

  ExitCode Run();

 private:
  ExitCode DrainEntry();
  ExitCode DrainAgent();
  ExitCode Report(const Result<EntryReply>& reply);

  Session& session;
  Target target;
  std::string name;
};

}  // namespace quetzalvale
