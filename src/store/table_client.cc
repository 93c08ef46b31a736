#include "store/table_client.h"

#include "store/await.h"

namespace quetzalvale {

TableClient::RowResult TableClient::Read(std::string_view table, std::string_view key) {
  return Await<RowResult>([&](auto done) { this->ReadAsync(table, key, std::move(done)); });
}

TableClient::RowsResult TableClient::Scan(std::string_view table, std::string_view prefix,
                                          std::uint32_t limit) {
  return Await<RowsResult>(
      [&](auto done) { this->ScanAsync(table, prefix, limit, std::move(done)); });
}

TableClient::CommitResult TableClient::Commit(const std::vector<TableOperation>& operations) {
  return Await<CommitResult>([&](auto done) { this->CommitAsync(operations, std::move(done)); });
}

}  // namespace quetzalvale
