#include "ctl/apply.h"

#include <utility>

#include "ctl/confirmation.h"
#include "ctl/input_file.h"
#include "ctl/json_output.h"
#include "settings/service_document.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kPauseBetweenPolls{200};

std::string ServicePath(const std::string& service, const std::string& what) {
  return "/admin/v1/services/" + service + "/" + what;
}

}  // namespace

Apply::Apply(Session& session, Options options) : session(session), options(std::move(options)) {}

ExitCode Apply::Run() {
  const auto document = this->LoadDocument();
  return document ? this->Put(*document) : ExitCode::kInvalid;
}

std::optional<Json::Value> Apply::LoadDocument() {
  const auto document = ReadJsonFile(this->options.file);
  if (!IsOk(document)) {
    this->session.err << GetError(document).message << "\n";
    return std::nullopt;
  }
  const auto decoded = DecodeServiceDocument(std::get<Json::Value>(document), this->options.file);
  if (!IsOk(decoded)) {
    this->session.err << GetError(decoded).message << "\n";
    return std::nullopt;
  }
  const std::string& named = std::get<ServiceConfiguration>(decoded).service;
  if (!this->options.service.empty() && this->options.service != named) {
    this->session.err << this->options.file << ": the document is of service " << named
                      << ", not of " << this->options.service
                      << "; correct --service or the document\n";
    return std::nullopt;
  }
  this->options.service = named;
  return std::get<Json::Value>(document);
}

ExitCode Apply::Put(const Json::Value& document) {
  Json::Value request;
  request["base_version"] = static_cast<Json::UInt64>(this->options.base_version);
  request["change_id"] = this->options.change_id;
  request["document"] = document;
  const std::string path = ServicePath(this->options.service, "configuration");
  const auto reply = this->session.client.CallAny("PUT", path, request);
  if (!IsOk(reply)) {
    this->session.err << GetError(reply).message
                      << "; repeat with --change-id=" << this->options.change_id
                      << ", which never applies twice\n";
    return ExitCode::kNoAnswer;
  }
  const auto& answer = std::get<EntryReply>(reply);
  if (answer.status == 200) {
    return this->Finish(answer.body["version"].asUInt64());
  }
  if (answer.status == 409) {
    return this->SettleStaleBase(answer);
  }
  this->session.err << RefusalMessage(answer) << "\n";
  return answer.status == 422 ? ExitCode::kInvalid : ExitCode::kRefused;
}

ExitCode Apply::SettleStaleBase(const EntryReply& reply) {
  const auto audit =
      this->session.client.CallAny("GET", ServicePath(this->options.service, "audit"));
  if (!IsOk(audit) || std::get<EntryReply>(audit).status != 200) {
    this->session.err << "the base version is stale and the audit rows cannot be read; repeat with "
                         "--change-id="
                      << this->options.change_id << "\n";
    return ExitCode::kNoAnswer;
  }
  for (const Json::Value& row : std::get<EntryReply>(audit).body["changes"]) {
    if (row["change_id"] == this->options.change_id) {
      return this->Finish(row["version"].asUInt64());
    }
  }
  this->session.err << RefusalMessage(reply)
                    << "; read the current version with `quetzalvale-ctl show`, merge, and apply "
                       "with that --base\n";
  return ExitCode::kStaleBase;
}

ExitCode Apply::Finish(std::uint64_t version) {
  Json::Value result;
  result["service"] = this->options.service;
  result["version"] = static_cast<Json::UInt64>(version);
  result["change_id"] = this->options.change_id;
  PrintJson(this->session.out, result);
  return this->options.wait ? this->WaitForConfirmation(version) : ExitCode::kDone;
}

ExitCode Apply::WaitForConfirmation(std::uint64_t version) {
  const auto give_up = this->session.clock.Now() + this->options.timeout;
  while (true) {
    Confirmation confirmation(this->options.service);
    bool all_answered = true;
    for (const std::string& entry : this->session.client.Entries()) {
      const auto reply = this->session.client.CallOne(entry, "GET", "/admin/v1/status");
      if (IsOk(reply) && std::get<EntryReply>(reply).status == 200) {
        confirmation.Add(std::get<EntryReply>(reply).body);
      } else {
        all_answered = false;
      }
    }
    const std::size_t confirmed = confirmation.Confirmed(version);
    const bool complete = all_answered && confirmed == confirmation.Processes();
    const bool late = this->session.clock.Now() >= give_up;
    if (complete || late) {
      this->session.err << confirmed << " of " << confirmation.Processes()
                        << " entries and agents have confirmed version " << version << "\n";
      return complete ? ExitCode::kDone : ExitCode::kNotConfirmed;
    }
    this->session.pause(kPauseBetweenPolls);
  }
}

}  // namespace quetzalvale
