#include "store/configuration_store.h"

#include <xxhash.h>

#include <cstdio>
#include <utility>

#include "protocol/codec.h"
#include "runtime/log.h"
#include "store/retry.h"

namespace quetzalvale {
namespace {

constexpr const char* kTable = "configuration";
constexpr const char* kAuditTable = "audit";

std::string AuditKey(const std::string& service, std::uint64_t version) {
  return service + "/" + std::to_string(version);
}

Error Unavailable(const PlatformError& error) {
  return {ErrorKind::kPlatformUnavailable, "not applied: the platform does not take the change (" +
                                               error.message +
                                               "); apply it again later with the same change id"};
}

Error Unknown() {
  return {ErrorKind::kTimeout,
          "not known whether the change is applied: the platform's answer was lost; apply it again "
          "with the same change id, which applies it at most once"};
}

Error StaleBase(std::uint64_t base) {
  return {ErrorKind::kStaleBase, "not applied: version " + std::to_string(base) +
                                     " is no longer the newest; read the configuration, make the "
                                     "change again and use a new change id"};
}

Error ReusedId(const std::string& change_id) {
  return {ErrorKind::kConflict, "not applied: change id " + change_id +
                                    " belongs to another document; use a new change id"};
}

}  // namespace

std::string DocumentHash(const Json::Value& document) {
  const std::string text = WriteJson(document);
  constexpr std::size_t kDigits = 17;
  char hash[kDigits];
  std::snprintf(hash, sizeof(hash), "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
  return hash;
}

ConfigurationStore::ConfigurationStore(TableClient& table, const Clock& clock,
                                       std::chrono::milliseconds patience, RowVersion row_version)
    : table(table), clock(clock), patience(patience), row_version(std::move(row_version)) {}

std::vector<TableOperation> ConfigurationStore::Operations(
    const ConfigurationChange& change) const {
  Json::Value audit;
  audit["service"] = change.service;
  audit["version"] = static_cast<Json::UInt64>(change.base_version + 1);
  audit["holder"] = change.holder;
  audit["change_id"] = change.change_id;
  audit["summary"] = change.summary;
  audit["document_hash"] = DocumentHash(change.document);
  audit["time_ms"] = static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                  this->clock.WallNow().time_since_epoch())
                                                  .count());
  return {{kTable, change.service, change.document, this->row_version(change.base_version)},
          {kAuditTable, AuditKey(change.service, change.base_version + 1), std::move(audit),
           this->row_version(0)}};
}

PlatformResult<ConfigurationStore::AuditVerdict> ConfigurationStore::ReadVerdict(
    const ConfigurationChange& change, std::uint64_t version) {
  auto row = this->table.Read(kAuditTable, AuditKey(change.service, version));
  if (auto* error = std::get_if<PlatformError>(&row)) {
    return std::move(*error);
  }
  const auto& audit = std::get<std::optional<TableRow>>(row);
  if (!audit || !audit->value.isObject()) {
    return AuditVerdict::kAbsent;
  }
  if (audit->value["change_id"] != change.change_id) {
    return AuditVerdict::kOtherChange;
  }
  return audit->value["document_hash"] == DocumentHash(change.document)
             ? AuditVerdict::kThisChange
             : AuditVerdict::kSameIdOtherDocument;
}

std::optional<Result<std::uint64_t>> ConfigurationStore::Resolve(const ConfigurationChange& change,
                                                                 bool conflict) {
  const std::uint64_t version = change.base_version + 1;
  const auto verdict = this->ReadVerdict(change, version);
  if (std::holds_alternative<PlatformError>(verdict)) {
    return std::nullopt;
  }
  switch (std::get<AuditVerdict>(verdict)) {
    case AuditVerdict::kThisChange:
      return version;
    case AuditVerdict::kSameIdOtherDocument:
      return ReusedId(change.change_id);
    case AuditVerdict::kOtherChange:
      return StaleBase(change.base_version);
    case AuditVerdict::kAbsent:
      break;
  }
  if (conflict) {
    return StaleBase(change.base_version);
  }
  // The write may still be on its way; repeating it is safe, because both rows are compared.
  return std::nullopt;
}

Result<std::uint64_t> ConfigurationStore::Apply(const ConfigurationChange& change) {
  if (change.base_version > 0) {
    // An operator whose answer was lost may read the configuration again and send the same change
    // against its own result.
    const auto verdict = this->ReadVerdict(change, change.base_version);
    if (const auto* error = std::get_if<PlatformError>(&verdict)) {
      return Unavailable(*error);
    }
    if (std::get<AuditVerdict>(verdict) == AuditVerdict::kThisChange) {
      return change.base_version;
    }
    if (std::get<AuditVerdict>(verdict) == AuditVerdict::kSameIdOtherDocument) {
      return ReusedId(change.change_id);
    }
  }
  const auto operations = this->Operations(change);
  Attempts attempts(this->patience);
  bool maybe_applied = false;
  do {
    const auto result = this->table.Commit(operations);
    const auto* error = std::get_if<PlatformError>(&result);
    if (error == nullptr) {
      return change.base_version + 1;
    }
    const bool conflict = error->failure == PlatformFailure::kConflict;
    maybe_applied = maybe_applied || conflict || error->MaybeApplied();
    if (!maybe_applied) {
      return Unavailable(*error);
    }
    Log(LogLevel::kWarning, 3500, "change_unresolved",
        "service=" + change.service + " change_id=" + change.change_id +
            " reason=" + error->message);
    if (auto settled = this->Resolve(change, conflict)) {
      return *std::move(settled);
    }
  } while (attempts.Again());
  return Unknown();
}

Result<std::optional<StoredDocument>> ConfigurationStore::Read(const std::string& service) {
  auto row = this->table.Read(kTable, service);
  if (const auto* error = std::get_if<PlatformError>(&row)) {
    return Error{ErrorKind::kPlatformUnavailable,
                 "the platform does not answer (" + error->message + "); try again later"};
  }
  auto& found = std::get<std::optional<TableRow>>(row);
  if (!found) {
    return std::optional<StoredDocument>();
  }
  return std::optional(StoredDocument{found->version, std::move(found->value)});
}

Result<std::vector<Json::Value>> ConfigurationStore::Audit(const std::string& service,
                                                           std::uint32_t limit) {
  auto current = this->Read(service);
  if (!IsOk(current)) {
    return GetError(current);
  }
  const auto& stored = std::get<0>(current);
  std::vector<Json::Value> rows;
  for (std::uint64_t version = stored ? stored->version : 0; version > 0 && rows.size() < limit;
       --version) {
    auto row = this->table.Read(kAuditTable, AuditKey(service, version));
    if (const auto* error = std::get_if<PlatformError>(&row)) {
      return Unavailable(*error);
    }
    if (auto& found = std::get<std::optional<TableRow>>(row)) {
      rows.push_back(std::move(found->value));
    }
  }
  return rows;
}

}  // namespace quetzalvale
