#include "standin/platform_store.h"

namespace quetzalvale {

std::uint64_t PlatformStore::VisibleVersion(const RowId& id) const {
  const auto found = this->rows.find(id);
  return found == this->rows.end() || !found->second.value ? 0 : found->second.version;
}

std::variant<std::vector<std::uint64_t>, PlatformStore::Conflict> PlatformStore::Commit(
    const std::vector<TableOperation>& operations) {
  const std::lock_guard lock(this->mutex);
  for (const auto& operation : operations) {
    const std::uint64_t version = this->VisibleVersion({operation.table, operation.key});
    if (operation.expected_version && *operation.expected_version != version) {
      return Conflict{operation.table, operation.key, version};
    }
  }
  std::vector<std::uint64_t> versions;
  for (const auto& operation : operations) {
    Row& row = this->rows[{operation.table, operation.key}];
    ++row.version;
    row.value = operation.value.isNull() ? std::nullopt : std::optional(operation.value);
    versions.push_back(row.version);
  }
  return versions;
}

std::optional<TableRow> PlatformStore::Read(std::string_view table, std::string_view key) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->rows.find({std::string(table), std::string(key)});
  if (found == this->rows.end() || !found->second.value) {
    return std::nullopt;
  }
  return TableRow{found->first.second, found->second.version, *found->second.value};
}

std::vector<TableRow> PlatformStore::Scan(std::string_view table, std::string_view prefix,
                                          std::size_t limit) const {
  const std::lock_guard lock(this->mutex);
  std::vector<TableRow> found;
  for (auto it = this->rows.lower_bound({std::string(table), std::string(prefix)});
       it != this->rows.end() && found.size() < limit; ++it) {
    const auto& [id, row] = *it;
    if (id.first != table || !id.second.starts_with(prefix)) {
      break;
    }
    if (row.value) {
      found.push_back({id.second, row.version, *row.value});
    }
  }
  return found;
}

void PlatformStore::PutObject(const std::string& name, std::string bytes) {
  const std::lock_guard lock(this->mutex);
  this->objects[name] = std::move(bytes);
}

std::optional<std::string> PlatformStore::GetObject(const std::string& name) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->objects.find(name);
  return found == this->objects.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace quetzalvale
