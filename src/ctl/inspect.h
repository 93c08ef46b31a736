/// `quetzalvale-ctl show` and `audit`: print what the entries serve, as JSON.
#pragma once

#include <string>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace quetzalvale {

class Inspect {
 public:
  /// `path` is the path of a GET call.
  Inspect(Session& session, std::string path);

  ExitCode Run();

 private:
  Session& session;
  std::string path;
};

}  // namespace quetzalvale
