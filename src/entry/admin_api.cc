#include "entry/admin_api.h"

#include <charconv>
#include <optional>
#include <utility>

#include "entry/answer_json.h"
#include "entry/caller_api.h"
#include "entry/json_text.h"
#include "entry/status_json.h"
#include "protocol/codec.h"
#include "runtime/log.h"
#include "settings/service_document.h"

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxChangeIdBytes = 200;
constexpr std::size_t kMaxSummaryBytes = 1000;
constexpr std::uint32_t kAuditRows = 20;
constexpr std::uint32_t kMaxAuditRows = 200;

HttpResponse Overloaded() {
  return RenderAdminError(
      {ErrorKind::kOverloaded, "the entry is overloaded; try again after a pause"}, false);
}

Error MalformedChange(const std::string& problem) { return {ErrorKind::kMalformed, problem}; }

bool IsShortText(const Json::Value& json, std::size_t max_bytes) {
  return json.isString() && json.asString().size() <= max_bytes;
}

Result<ConfigurationChange> ParseChange(const std::string& service, const std::string& holder,
                                        const std::string& body) {
  const auto parsed = ParseOutsideObject(body);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const auto& json = std::get<Json::Value>(parsed);
  for (const auto& name : json.getMemberNames()) {
    if (name != "base_version" && name != "change_id" && name != "document" && name != "summary") {
      return MalformedChange(name + " is not a known member; remove it or correct its name");
    }
  }
  if (!json["base_version"].isUInt64()) {
    return MalformedChange("base_version must be the version that the change was made against");
  }
  if (!IsShortText(json["change_id"], kMaxChangeIdBytes) || json["change_id"].asString().empty()) {
    return MalformedChange("change_id must be a text of 1 to 200 bytes, unique per change");
  }
  if (json.isMember("summary") && !IsShortText(json["summary"], kMaxSummaryBytes)) {
    return MalformedChange("summary must be a text of at most 1000 bytes");
  }
  const auto decoded = DecodeServiceDocument(json["document"], "document");
  if (!IsOk(decoded)) {
    return GetError(decoded);
  }
  if (std::get<ServiceConfiguration>(decoded).service != service) {
    return Error{ErrorKind::kInvalidSettings,
                 "document: $.service: differs from the path; set it to " + service};
  }
  return ConfigurationChange{.service = service,
                             .base_version = json["base_version"].asUInt64(),
                             .change_id = json["change_id"].asString(),
                             .holder = holder,
                             .summary = json.get("summary", "").asString(),
                             .document = json["document"]};
}

const AgentStatus* FindAgent(const EntryStatus& status, const std::string& name) {
  for (const auto& service : status.services) {
    for (const auto& agent : service.agents) {
      if (agent.name == name) {
        return &agent;
      }
    }
  }
  return nullptr;
}

/// Returns the number of audit rows asked for, or nothing when it is out of range.
std::optional<std::uint32_t> ParseLimit(const std::map<std::string, std::string>& query) {
  const auto found = query.find("limit");
  if (found == query.end()) {
    return kAuditRows;
  }
  const std::string& text = found->second;
  std::uint32_t limit = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), limit);
  const bool whole = problem == std::errc() && end == text.data() + text.size();
  if (!whole || limit == 0 || limit > kMaxAuditRows) {
    return std::nullopt;
  }
  return limit;
}

}  // namespace

AdminApi::AdminApi(Parts parts) : parts(std::move(parts)) {}

void AdminApi::Handle(const HttpRequest& request, const HttpResponder& respond) {
  const auto holder = this->parts.administrators.Authenticate(request.authorization);
  if (!holder) {
    respond(RenderAdminError(
        {ErrorKind::kUnauthorized,
         "send the header Authorization: Bearer TOKEN with the token of an administrator"},
        false));
    return;
  }
  const auto& path = request.path;
  if (path.size() == 3 && path[2] == "status") {
    request.method == "GET" ? this->HandleStatus(respond) : respond(WrongMethod("GET"));
  } else if (path.size() == 5 && path[2] == "services") {
    this->HandleService(request, *holder, respond);
  } else if (path.size() == 3 && path[2] == "drain") {
    request.method == "POST" ? this->DrainEntry(*holder, respond) : respond(WrongMethod("POST"));
  } else if (path.size() == 5 && path[2] == "agents" && path[4] == "drain") {
    request.method == "POST" ? this->DrainAgent(path[3], *holder, respond)
                             : respond(WrongMethod("POST"));
  } else {
    respond(UnknownPath());
  }
}

void AdminApi::HandleStatus(const HttpResponder& respond) {
  const bool posted =
      this->parts.core.PostStatusRequest([this, respond](const EntryStatus& status) {
        respond({200, WriteJson(RenderStatus(this->parts.name, status))});
      });
  if (!posted) {
    respond(Overloaded());
  }
}

void AdminApi::HandleService(const HttpRequest& request, const std::string& holder,
                             const HttpResponder& respond) {
  const std::string& service = request.path[3];
  const std::string& part = request.path[4];
  if (!this->parts.book.IsServed(service)) {
    respond(RenderAdminError({ErrorKind::kUnknownService,
                              "this entry does not serve that service; "
                              "correct its name or add it to services "
                              "in the entry's settings"},
                             false));
  } else if (part == "configuration" && request.method == "PUT") {
    this->PutConfiguration(request, holder, respond);
  } else if (part == "configuration" && request.method == "GET") {
    this->GetConfiguration(service, respond);
  } else if (part == "configuration") {
    respond(WrongMethod("GET or PUT"));
  } else if (part == "audit" && request.method == "GET") {
    this->GetAudit(request, respond);
  } else if (part == "audit") {
    respond(WrongMethod("GET"));
  } else {
    respond(UnknownPath());
  }
}

void AdminApi::RunOnPool(const HttpResponder& respond, std::function<HttpResponse()> work) {
  const bool taken =
      this->parts.workers.TryRun([respond, work = std::move(work)] { respond(work()); });
  if (!taken) {
    respond(Overloaded());
  }
}

void AdminApi::PutConfiguration(const HttpRequest& request, const std::string& holder,
                                const HttpResponder& respond) {
  auto change = ParseChange(request.path[3], holder, request.body);
  if (!IsOk(change)) {
    respond(RenderAdminError(GetError(change), false));
    return;
  }
  this->RunOnPool(respond, [this, change = std::get<ConfigurationChange>(std::move(change))] {
    return this->Apply(change);
  });
}

HttpResponse AdminApi::Apply(const ConfigurationChange& change) {
  const std::string details =
      "service=" + change.service + " holder=" + change.holder + " change_id=" + change.change_id;
  const auto version = this->parts.store.Apply(change);
  if (!IsOk(version)) {
    const Error& error = GetError(version);
    Log(LogLevel::kWarning, 3021, "change_not_confirmed", details + " reason=" + error.message);
    const bool unknown = error.kind == ErrorKind::kTimeout;
    return RenderAdminError(error, unknown ? std::nullopt : std::optional(false));
  }
  Log(LogLevel::kInfo, 3020, "change_applied",
      details + " version=" + std::to_string(std::get<std::uint64_t>(version)));
  this->parts.book.Offer(change.service, {std::get<std::uint64_t>(version), change.document},
                         "change " + change.change_id);
  Json::Value json;
  json["version"] = static_cast<Json::UInt64>(std::get<std::uint64_t>(version));
  return {200, WriteJson(json)};
}

void AdminApi::GetConfiguration(const std::string& service, const HttpResponder& respond) {
  this->RunOnPool(respond, [this, service] {
    const auto stored = this->parts.store.Read(service);
    if (!IsOk(stored)) {
      return RenderAdminError(GetError(stored), false);
    }
    Json::Value json;
    json["version"] = 0;
    json["document"] = Json::Value();
    if (const auto& found = std::get<std::optional<StoredDocument>>(stored)) {
      json["version"] = static_cast<Json::UInt64>(found->version);
      json["document"] = found->document;
    }
    return HttpResponse{200, WriteJson(json)};
  });
}

void AdminApi::GetAudit(const HttpRequest& request, const HttpResponder& respond) {
  const auto limit = ParseLimit(request.query);
  if (!limit) {
    respond(RenderAdminError({ErrorKind::kMalformed, "limit must be a whole number from 1 to " +
                                                         std::to_string(kMaxAuditRows)},
                             false));
    return;
  }
  this->RunOnPool(respond, [this, service = request.path[3], limit = *limit] {
    const auto rows = this->parts.store.Audit(service, limit);
    if (!IsOk(rows)) {
      return RenderAdminError(GetError(rows), false);
    }
    Json::Value json;
    json["changes"] = Json::Value(Json::arrayValue);
    for (const auto& row : std::get<std::vector<Json::Value>>(rows)) {
      json["changes"].append(row);
    }
    return HttpResponse{200, WriteJson(json)};
  });
}

void AdminApi::DrainEntry(const std::string& holder, const HttpResponder& respond) {
  Log(LogLevel::kInfo, 3022, "drain_requested", "holder=" + holder);
  constexpr int kAccepted = 202;
  respond({kAccepted, R"({"status":"leaving"})"});
  this->parts.leave();
}

void AdminApi::DrainAgent(const std::string& name, const std::string& holder,
                          const HttpResponder& respond) {
  const bool posted =
      this->parts.core.PostStatusRequest([this, name, holder, respond](const EntryStatus& status) {
        const AgentStatus* agent = FindAgent(status, name);
        if (agent == nullptr) {
          respond(RenderAdminError({ErrorKind::kNotFound,
                                    "this entry knows no agent of that name; "
                                    "GET /admin/v1/status lists them"},
                                   false));
          return;
        }
        Log(LogLevel::kInfo, 3023, "agent_drain_requested", "agent=" + name + " holder=" + holder);
        this->parts.senders.Send(
            agent->address, "drain", Json::Value(Json::objectValue),
            [respond](const Result<Json::Value>& reply) {
              constexpr int kAccepted = 202;
              const bool maybe = !IsOk(reply) && GetError(reply).kind == ErrorKind::kTimeout;
              respond(IsOk(reply) ? HttpResponse{kAccepted, R"({"status":"leaving"})"}
                                  : RenderAdminError(GetError(reply),
                                                     maybe ? std::nullopt : std::optional(false)));
            });
      });
  if (!posted) {
    respond(Overloaded());
  }
}

}  // namespace quetzalvale
