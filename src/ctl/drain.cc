#include "ctl/drain.h"

#include <utility>

namespace quetzalvale {

Drain::Drain(Session& session, Target target, std::string name)
    : session(session), target(target), name(std::move(name)) {}

ExitCode Drain::Run() {
  return this->target == Target::kEntry ? this->DrainEntry() : this->DrainAgent();
}

ExitCode Drain::DrainEntry() {
  for (const std::string& entry : this->session.client.Entries()) {
    const auto reply = this->session.client.CallOne(entry, "GET", "/admin/v1/status");
    if (!IsOk(reply)) {
      this->session.err << GetError(reply).message << "\n";
      continue;
    }
    const auto& answer = std::get<EntryReply>(reply);
    if (answer.status != 200) {
      this->session.err << RefusalMessage(answer) << "\n";
      return ExitCode::kRefused;
    }
    if (entry == this->name || answer.body["name"] == this->name) {
      return this->Report(this->session.client.CallOne(entry, "POST", "/admin/v1/drain"));
    }
  }
  this->session.err
      << "no entry named " << this->name
      << " answers; name it by its caller address, and pass that with --entry as well\n";
  return ExitCode::kNoAnswer;
}

ExitCode Drain::DrainAgent() {
  const std::string path = "/admin/v1/agents/" + this->name + "/drain";
  return this->Report(this->session.client.CallAny("POST", path));
}

ExitCode Drain::Report(const Result<EntryReply>& reply) {
  if (!IsOk(reply)) {
    this->session.err << GetError(reply).message << "; draining twice is harmless\n";
    return ExitCode::kNoAnswer;
  }
  const auto& answer = std::get<EntryReply>(reply);
  if (answer.status != 200 && answer.status != 202) {
    this->session.err << RefusalMessage(answer) << "\n";
    return ExitCode::kRefused;
  }
  this->session.out << this->name << ": draining\n";
  return ExitCode::kDone;
}

}  // namespace quetzalvale
