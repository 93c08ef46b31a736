#include "ctl/status.h"

#include "ctl/json_output.h"

namespace quetzalvale {

StatusReport::StatusReport(Session& session) : session(session) {}

ExitCode StatusReport::Run() {
  Json::Value report(Json::arrayValue);
  ExitCode code = ExitCode::kDone;
  for (const std::string& entry : this->session.client.Entries()) {
    const auto reply = this->session.client.CallOne(entry, "GET", "/admin/v1/status");
    if (!IsOk(reply)) {
      this->session.err << GetError(reply).message << "\n";
      code = ExitCode::kNoAnswer;
      continue;
    }
    const auto& answer = std::get<EntryReply>(reply);
    if (answer.status != 200) {
      this->session.err << RefusalMessage(answer) << "\n";
      return ExitCode::kRefused;
    }
    report.append(answer.body);
  }
  PrintJson(this->session.out, report);
  return code;
}

}  // namespace quetzalvale
