#include "ctl/submit.h"

#include <utility>

#include "ctl/input_file.h"
#include "protocol/codec.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kPauseBetweenAttempts{100};

/// Refusals that another entry, or the same one a little later, need not give.
bool IsPassing(const Json::Value& answer) {
  const std::string error = answer["error"].asString();
  return error == "leaving" || error == "not_ready" || error == "ticket_expired";
}

bool SaysNotRun(const Json::Value& answer) {
  return answer["not_run"].isBool() && answer["not_run"].asBool();
}

}  // namespace

Submit::Submit(Session& session, Options options) : session(session), options(std::move(options)) {}

ExitCode Submit::Run() {
  const auto job = this->LoadJob();
  return job ? this->SubmitUntilAnswered(*job) : ExitCode::kInvalid;
}

std::optional<Json::Value> Submit::LoadJob() {
  auto tasks = ReadJsonFile(this->options.file);
  if (!IsOk(tasks)) {
    this->session.err << GetError(tasks).message << "\n";
    return std::nullopt;
  }
  if (!std::get<Json::Value>(tasks).isArray()) {
    this->session.err << this->options.file
                      << ": not an array; write the tasks as [{\"payload\": ...}, ...]\n";
    return std::nullopt;
  }
  Json::Value job;
  job["team"] = this->options.team;
  job["kind"] = this->options.kind;
  job["tasks"] = std::move(std::get<Json::Value>(tasks));
  if (this->options.deadline.count() > 0) {
    job["deadline_ms"] = static_cast<Json::Int64>(this->options.deadline.count());
  }
  return job;
}

Result<std::string> Submit::TakeTicket() {
  Json::Value request;
  request["count"] = 1;
  const std::string path = "/v1/services/" + this->options.service + "/tickets";
  const auto reply = this->session.client.CallOne(this->NextEntry(), "POST", path, request);
  if (!IsOk(reply)) {
    return GetError(reply);
  }
  const auto& answer = std::get<EntryReply>(reply);
  if (answer.status != 200) {
    const bool passing = answer.status == 503;
    return Error{passing ? ErrorKind::kNotReady : ErrorKind::kMalformed, RefusalMessage(answer)};
  }
  if (!answer.body["tickets"].isArray() || answer.body["tickets"].empty()) {
    return Error{ErrorKind::kNotReady, "the entry granted no ticket; try again"};
  }
  return answer.body["tickets"][0].asString();
}

ExitCode Submit::SubmitUntilAnswered(Json::Value job) {
  const auto give_up = this->session.clock.Now() + this->options.timeout;
  const std::string path = "/v1/services/" + this->options.service + "/jobs";
  for (; this->session.clock.Now() < give_up; this->session.pause(kPauseBetweenAttempts)) {
    if (!job.isMember("ticket")) {
      const auto ticket = this->TakeTicket();
      if (IsOk(ticket)) {
        job["ticket"] = std::get<std::string>(ticket);
      } else if (GetError(ticket).kind == ErrorKind::kMalformed) {
        this->session.err << GetError(ticket).message << "\n";
        return ExitCode::kRefused;
      } else {
        this->session.err << GetError(ticket).message << "; trying again\n";
        ++this->attempts;
        continue;
      }
    }
    const auto reply = this->session.client.CallOne(this->NextEntry(), "POST", path, job);
    if (!IsOk(reply)) {
      this->session.err << GetError(reply).message << "; resubmitting the same ticket\n";
      ++this->attempts;
      continue;
    }
    const Json::Value& answer = std::get<EntryReply>(reply).body;
    if (!answer.isObject() || !answer["status"].isString()) {
      this->session.err << RefusalMessage(std::get<EntryReply>(reply))
                        << "; resubmitting the same ticket\n";
      ++this->attempts;
      continue;
    }
    if (answer["status"] == "refused" && SaysNotRun(answer) && IsPassing(answer)) {
      this->session.err << answer["message"].asString() << "; taking a new ticket\n";
      job.removeMember("ticket");
      ++this->attempts;
      continue;
    }
    return this->Report(answer);
  }
  this->session.err << "no answer in time; the job may run. Its ticket is "
                    << job["ticket"].asString()
                    << "; ask for it with GET /v1/services/{service}/jobs/{ticket}\n";
  return ExitCode::kNoAnswer;
}

ExitCode Submit::Report(const Json::Value& answer) {
  this->session.out << WriteJson(answer) << "\n";
  if (answer["status"] == "complete") {
    return ExitCode::kDone;
  }
  return answer["status"] == "failed" ? ExitCode::kJobFailed : ExitCode::kRefused;
}

const std::string& Submit::NextEntry() {
  const auto& entries = this->session.client.Entries();
  return entries[this->attempts % entries.size()];
}

}  // namespace quetzalvale
