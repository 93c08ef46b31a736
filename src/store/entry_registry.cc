#include "store/entry_registry.h"

#include <utility>

namespace quetzalvale {
namespace {

constexpr const char* kTable = "entries";
constexpr std::uint32_t kMaxEntries = 1000;

std::optional<EntryInfo> DecodeRow(const TableRow& row) {
  const Json::Value& value = row.value;
  if (!value.isObject() || !value["incarnation"].isString() || !value["data_centre"].isString()) {
    return std::nullopt;
  }
  const auto incarnation = Incarnation::Parse(value["incarnation"].asString());
  if (!incarnation) {
    return std::nullopt;
  }
  return EntryInfo{*incarnation, row.key, value["data_centre"].asString()};
}

}  // namespace

EntryRegistry::EntryRegistry(TableClient& table, EntryInfo self, std::string name)
    : table(table), self(std::move(self)), name(std::move(name)) {}

bool EntryRegistry::Add() {
  Json::Value value;
  value["incarnation"] = this->self.incarnation.Text();
  value["name"] = this->name;
  value["data_centre"] = this->self.data_centre;
  const auto result = this->table.Commit({{kTable, this->self.address, value, std::nullopt}});
  return !std::holds_alternative<PlatformError>(result);
}

bool EntryRegistry::Remove() {
  const auto row = this->table.Read(kTable, this->self.address);
  const auto* found = std::get_if<std::optional<TableRow>>(&row);
  if (found == nullptr) {
    return false;
  }
  if (!*found) {
    return true;
  }
  const auto owner = DecodeRow(**found);
  if (owner && owner->incarnation != this->self.incarnation) {
    return true;
  }
  const auto result =
      this->table.Commit({{kTable, this->self.address, Json::Value(), (*found)->version}});
  return !std::holds_alternative<PlatformError>(result);
}

PlatformResult<std::vector<EntryInfo>> EntryRegistry::Others() {
  auto rows = this->table.Scan(kTable, "", kMaxEntries);
  if (auto* error = std::get_if<PlatformError>(&rows)) {
    return std::move(*error);
  }
  std::vector<EntryInfo> others;
  for (const auto& row : std::get<std::vector<TableRow>>(rows)) {
    auto entry = DecodeRow(row);
    if (entry && entry->address != this->self.address) {
      others.push_back(*std::move(entry));
    }
  }
  return others;
}

}  // namespace quetzalvale
