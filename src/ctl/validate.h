/// `quetzalvale-ctl validate`: checks a service document without an entry.
#pragma once

#include <ostream>
#include <string>

#include "ctl/exit_code.h"

namespace quetzalvale {

class Validate {
 public:
  Validate(std::string file, std::ostream& out, std::ostream& err);

  ExitCode Run();

 private:
  std::string file;
  std::ostream& out;
  std::ostream& err;
};

}  // namespace quetzalvale
