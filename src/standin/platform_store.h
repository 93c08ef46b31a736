/// Tables and objects of the platform stand-in, in memory.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "store/table_client.h"

namespace quetzalvale {

/// Rows have versions that rise by one with each write. A deleted and recreated row goes on from
/// its last version, so that no version is ever given twice. Thread-safe.
class PlatformStore {
 public:
  struct Conflict {
    std::string table;
    std::string key;
    std::uint64_t version = 0;
  };

  /// Applies all operations or none. Returns the new versions, or the first row that differs.
  std::variant<std::vector<std::uint64_t>, Conflict> Commit(
      const std::vector<TableOperation>& operations);

  std::optional<TableRow> Read(std::string_view table, std::string_view key) const;
  std::vector<TableRow> Scan(std::string_view table, std::string_view prefix,
                             std::size_t limit) const;

  void PutObject(const std::string& name, std::string bytes);
  std::optional<std::string> GetObject(const std::string& name) const;

 private:
  struct Row {
    std::uint64_t version = 0;
    /// Nothing when the row is deleted.
    std::optional<Json::Value> value;
  };
  using RowId = std::pair<std::string, std::string>;

  /// Version that the next operation sees: zero for an absent or deleted row.
  std::uint64_t VisibleVersion(const RowId& id) const;

  mutable std::mutex mutex;
  std::map<RowId, Row> rows;
  std::map<std::string, std::string> objects;
};

}  // namespace quetzalvale
