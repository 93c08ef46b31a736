#include "ctl/inspect.h"

#include <utility>

#include "ctl/json_output.h"

namespace quetzalvale {

Inspect::Inspect(Session& session, std::string path) : session(session), path(std::move(path)) {}

ExitCode Inspect::Run() {
  const auto reply = this->session.client.CallAny("GET", this->path);
  if (!IsOk(reply)) {
    this->session.err << GetError(reply).message << "\n";
    return ExitCode::kNoAnswer;
  }
  const auto& answer = std::get<EntryReply>(reply);
  if (answer.status != 200) {
    this->session.err << RefusalMessage(answer) << "\n";
    return ExitCode::kRefused;
  }
  PrintJson(this->session.out, answer.body);
  return ExitCode::kDone;
}

}  // namespace quetzalvale
