#include "standin/platform_server.h"

#include <algorithm>
#include <utility>

#include "protocol/codec.h"
#include "runtime/log.h"

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr std::size_t kMaxScanRows = 10000;
constexpr std::chrono::milliseconds kStopPatience{10000};

HttpResponse ErrorResponse(int status, const std::string& message) {
  Json::Value body;
  body["message"] = message;
  return {status, WriteJson(body)};
}

HttpResponse NoSuchPath() { return ErrorResponse(404, "no such path; see the design page"); }

Json::Value EncodeRow(const TableRow& row) {
  Json::Value json;
  json["key"] = row.key;
  json["version"] = static_cast<Json::UInt64>(row.version);
  json["value"] = row.value;
  return json;
}

/// Throws Json::Exception or std::invalid_argument on a malformed body.
std::vector<TableOperation> DecodeOperations(const Json::Value& body) {
  if (!body.isObject() || !body["operations"].isArray() || body["operations"].empty()) {
    throw std::invalid_argument("operations must be a list with at least one member");
  }
  std::vector<TableOperation> operations;
  for (const auto& json : body["operations"]) {
    if (!json.isObject() || !json["table"].isString() || !json["key"].isString()) {
      throw std::invalid_argument("an operation needs table and key");
    }
    TableOperation operation{json["table"].asString(), json["key"].asString(), json["value"], {}};
    if (!json["expected_version"].isNull()) {
      operation.expected_version = json["expected_version"].asUInt64();
    }
    operations.push_back(std::move(operation));
  }
  return operations;
}

}  // namespace

PlatformServer::PlatformServer(const std::string& address)
    : server(
          address, [] { return kMaxBodyBytes; },
          [this](HttpRequest request, const HttpResponder& respond) {
            this->Handle(std::move(request), respond);
          }) {}

void PlatformServer::Stop() {
  this->delays.Expedite();
  this->server.Stop(kStopPatience);
}

void PlatformServer::Handle(HttpRequest request, const HttpResponder& respond) {
  const auto& path = request.path;
  const bool versioned = path.size() >= 2 && path[0] == "v1";
  if (path.size() == 1 && path[0] == "control") {
    this->HandleControl(request, respond);
  } else if (versioned && request.method == "POST" && path.size() == 2 &&
             path[1] == "transactions") {
    auto body = ReadJson(request.body);
    if (!IsOk(body)) {
      respond(ErrorResponse(400, GetError(body).message));
      return;
    }
    this->Serve(this->faults.TreatWrite(), respond,
                [this, json = std::get<Json::Value>(body)] { return this->Commit(json); });
  } else if (versioned && request.method == "GET" && path[1] == "tables" && path.size() == 3) {
    this->Serve(this->faults.TreatRead(), respond, [this, request] { return this->Scan(request); });
  } else if (versioned && request.method == "GET" && path[1] == "tables" && path.size() == 5 &&
             path[3] == "rows") {
    this->Serve(this->faults.TreatRead(), respond,
                [this, table = path[2], key = path[4]] { return this->ReadRow(table, key); });
  } else if (versioned && request.method == "GET" && path[1] == "objects" && path.size() == 3) {
    this->Serve(this->faults.TreatRead(), respond,
                [this, name = path[2]] { return this->ReadObject(name); });
  } else if (versioned && request.method == "PUT" && path[1] == "objects" && path.size() == 3) {
    this->Serve(this->faults.TreatWrite(), respond, [this, request] {
      this->store.PutObject(request.path[2], request.body);
      return HttpResponse{200, "{}"};
    });
  } else {
    respond(NoSuchPath());
  }
}

void PlatformServer::HandleControl(const HttpRequest& request, const HttpResponder& respond) {
  if (request.method == "POST") {
    const auto settings = ReadJson(request.body);
    const Status changed = IsOk(settings) ? this->faults.Change(std::get<Json::Value>(settings))
                                          : Status(GetError(settings));
    if (!IsOk(changed)) {
      respond(ErrorResponse(400, GetError(changed).message));
      return;
    }
    Log(LogLevel::kInfo, 4101, "faults_changed", "settings=" + request.body);
  }
  respond({200, WriteJson(this->faults.Describe())});
}

void PlatformServer::Serve(const Treatment& treatment, const HttpResponder& respond,
                           std::function<HttpResponse()> effect) {
  this->delays.RunAfter(treatment.latency, [treatment, respond, effect = std::move(effect)] {
    if (treatment.refusal != 0) {
      respond(ErrorResponse(treatment.refusal, "not applied; try again later"));
      return;
    }
    HttpResponse response = effect();
    if (treatment.lose_answer) {
      constexpr int kGatewayTimeout = 504;
      response = ErrorResponse(kGatewayTimeout, "the answer was lost");
    }
    respond(std::move(response));
  });
}

HttpResponse PlatformServer::Commit(const Json::Value& body) {
  std::vector<TableOperation> operations;
  try {
    operations = DecodeOperations(body);
  } catch (const std::exception& malformed) {
    return ErrorResponse(400, malformed.what());
  }
  const auto result = this->store.Commit(operations);
  Json::Value json;
  if (const auto* conflict = std::get_if<PlatformStore::Conflict>(&result)) {
    json["table"] = conflict->table;
    json["key"] = conflict->key;
    json["version"] = static_cast<Json::UInt64>(conflict->version);
    return {409, WriteJson(json)};
  }
  json["versions"] = Json::Value(Json::arrayValue);
  for (const auto version : std::get<0>(result)) {
    json["versions"].append(static_cast<Json::UInt64>(version));
  }
  return {200, WriteJson(json)};
}

HttpResponse PlatformServer::ReadRow(const std::string& table, const std::string& key) const {
  const auto row = this->store.Read(table, key);
  return row ? HttpResponse{200, WriteJson(EncodeRow(*row))} : ErrorResponse(404, "no such row");
}

HttpResponse PlatformServer::Scan(const HttpRequest& request) const {
  const auto prefix = request.query.find("prefix");
  const auto limit = request.query.find("limit");
  std::size_t rows = kMaxScanRows;
  if (limit != request.query.end()) {
    const bool digits = !limit->second.empty() && limit->second.size() <= 9 &&
                        limit->second.find_first_not_of("0123456789") == std::string::npos;
    if (!digits) {
      return ErrorResponse(400, "limit is not a number");
    }
    rows = std::min<std::size_t>(kMaxScanRows, std::stoul(limit->second));
  }
  Json::Value json;
  json["rows"] = Json::Value(Json::arrayValue);
  for (const auto& row : this->store.Scan(
           request.path[2], prefix == request.query.end() ? "" : prefix->second, rows)) {
    json["rows"].append(EncodeRow(row));
  }
  return {200, WriteJson(json)};
}

HttpResponse PlatformServer::ReadObject(const std::string& name) const {
  auto bytes = this->store.GetObject(name);
  return bytes ? HttpResponse{200, *std::move(bytes), "application/octet-stream"}
               : ErrorResponse(404, "no such object");
}

}  // namespace quetzalvale
