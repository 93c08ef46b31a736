/// `quetzalvale-ctl status`: prints the state of every given entry.
#pragma once

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace quetzalvale {

class StatusReport {
 public:
  explicit StatusReport(Session& session);

  /// Prints an array with one object per entry that answers.
  ExitCode Run();

 private:
  Session& session;
};

}  // namespace quetzalvale
