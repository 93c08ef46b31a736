/// Versioned service documents in the platform's table.
#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/entry/entry_guards.h"
#include "core/result.h"
#include "runtime/clock.h"
#include "store/table_client.h"

namespace quetzalvale {

struct ConfigurationChange {
  std::string service;
  /// Version that the change was made against; zero for a new service.
  std::uint64_t base_version = 0;
  /// Chosen by the operator's tool, unique per change.
  std::string change_id{};
  /// Name of the token's holder.
  std::string holder{};
  std::string summary{};
  Json::Value document{};
};

struct StoredDocument {
  std::uint64_t version = 0;
  Json::Value document;
};

/// Rows: table `configuration`, key = service, value = document; table `audit`, key =
/// `service/version`. The row's version in the table is the version of the configuration.
/// Thread-safe. All calls wait for the platform.
class ConfigurationStore {
 public:
  /// Version that a row must have when a change is written.
  using RowVersion = std::function<std::optional<std::uint64_t>(std::uint64_t expected)>;

  /// `patience` bounds the time spent on one change. `table` and `clock` must outlive the store.
  /// `row_version` is replaced by tests only.
  ConfigurationStore(TableClient& table, const Clock& clock, std::chrono::milliseconds patience,
                     RowVersion row_version = EntryGuards().change_version);

  /// Applies the change and returns the new version. The same change id again returns the version
  /// of its first application. Errors: kStaleBase, kConflict (the change id belongs to another
  /// document) and kPlatformUnavailable mean not applied; kTimeout means not known.
  Result<std::uint64_t> Apply(const ConfigurationChange& change);

  /// Returns nothing when the service has no document.
  Result<std::optional<StoredDocument>> Read(const std::string& service);

  /// Returns the newest audit rows, newest first.
  Result<std::vector<Json::Value>> Audit(const std::string& service, std::uint32_t limit);

 private:
  /// What the audit row of a version says about a change.
  enum class AuditVerdict { kAbsent, kThisChange, kSameIdOtherDocument, kOtherChange };

  PlatformResult<AuditVerdict> ReadVerdict(const ConfigurationChange& change,
                                           std::uint64_t version);
  std::vector<TableOperation> Operations(const ConfigurationChange& change) const;
  /// Settles an attempt whose effect is not known yet; nothing means that it must be repeated.
  std::optional<Result<std::uint64_t>> Resolve(const ConfigurationChange& change, bool conflict);

  TableClient& table;
  const Clock& clock;
  std::chrono::milliseconds patience;
  RowVersion row_version;
};

/// Hash of a document's canonical JSON text, as 16 hexadecimal digits.
std::string DocumentHash(const Json::Value& document);

}  // namespace quetzalvale
