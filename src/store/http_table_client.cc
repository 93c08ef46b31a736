#include "store/http_table_client.h"

#include <utility>

#include "protocol/codec.h"
#include "store/platform_reply.h"

namespace quetzalvale {
namespace {

std::string TableTarget(std::string_view table) { return "/v1/tables/" + EncodeSegment(table); }

Json::Value EncodeOperations(const std::vector<TableOperation>& operations) {
  Json::Value list(Json::arrayValue);
  for (const auto& operation : operations) {
    Json::Value json;
    json["table"] = operation.table;
    json["key"] = operation.key;
    json["value"] = operation.value;
    if (operation.expected_version) {
      json["expected_version"] = static_cast<Json::UInt64>(*operation.expected_version);
    }
    list.append(std::move(json));
  }
  Json::Value body;
  body["operations"] = std::move(list);
  return body;
}

PlatformError Malformed(const char* what) {
  return {PlatformFailure::kUnknown, std::string("malformed answer of the platform: ") + what};
}

/// Runs `decode` on the JSON of a good reply.
template <typename T, typename Decode>
PlatformResult<T> DecodeReply(const HttpResult& result, const Decode& decode) {
  auto json = InterpretReply(result);
  if (auto* error = std::get_if<PlatformError>(&json)) {
    return std::move(*error);
  }
  try {
    return decode(std::get<Json::Value>(json));
  } catch (const Json::Exception& malformed) {
    return Malformed(malformed.what());
  }
}

std::vector<TableRow> DecodeRows(const Json::Value& json) {
  std::vector<TableRow> rows;
  for (const auto& row : json["rows"]) {
    rows.push_back({row["key"].asString(), row["version"].asUInt64(), row["value"]});
  }
  return rows;
}

std::vector<std::uint64_t> DecodeVersions(const Json::Value& json) {
  std::vector<std::uint64_t> versions;
  for (const auto& version : json["versions"]) {
    versions.push_back(version.asUInt64());
  }
  return versions;
}

}  // namespace

HttpTableClient::HttpTableClient(const std::string& url, std::chrono::milliseconds timeout)
    : client(url, timeout) {}

void HttpTableClient::ReadAsync(std::string_view table, std::string_view key,
                                std::function<void(RowResult)> done) {
  ++this->sent;
  OutgoingRequest request;
  request.target = TableTarget(table) + "/rows/" + EncodeSegment(key);
  this->client.Send(std::move(request),
                    [key = std::string(key), done = std::move(done)](const HttpResult& result) {
                      if (IsNotFound(result)) {
                        done(std::optional<TableRow>());
                        return;
                      }
                      done(DecodeReply<std::optional<TableRow>>(
                          result, [&key](const Json::Value& json) -> std::optional<TableRow> {
                            return TableRow{key, json["version"].asUInt64(), json["value"]};
                          }));
                    });
}

void HttpTableClient::ScanAsync(std::string_view table, std::string_view prefix,
                                std::uint32_t limit, std::function<void(RowsResult)> done) {
  ++this->sent;
  OutgoingRequest request;
  request.target =
      TableTarget(table) + "?prefix=" + EncodeSegment(prefix) + "&limit=" + std::to_string(limit);
  this->client.Send(std::move(request), [done = std::move(done)](const HttpResult& result) {
    done(DecodeReply<std::vector<TableRow>>(result, DecodeRows));
  });
}

void HttpTableClient::CommitAsync(const std::vector<TableOperation>& operations,
                                  std::function<void(CommitResult)> done) {
  ++this->sent;
  OutgoingRequest request;
  request.method = "POST";
  request.target = "/v1/transactions";
  request.body = WriteJson(EncodeOperations(operations));
  request.once = true;
  this->client.Send(std::move(request), [done = std::move(done)](const HttpResult& result) {
    done(DecodeReply<std::vector<std::uint64_t>>(result, DecodeVersions));
  });
}

}  // namespace quetzalvale
