/// The platform's table service over HTTP.
#pragma once

#include <atomic>
#include <chrono>
#include <string>

#include "http/http_client.h"
#include "store/table_client.h"

namespace quetzalvale {

/// Thread-safe. Writes go out on connections of their own, so that none is ever sent twice.
class HttpTableClient : public TableClient {
 public:
  HttpTableClient(const std::string& url, std::chrono::milliseconds timeout);

  void ReadAsync(std::string_view table, std::string_view key,
                 std::function<void(RowResult)> done) override;
  void ScanAsync(std::string_view table, std::string_view prefix, std::uint32_t limit,
                 std::function<void(RowsResult)> done) override;
  void CommitAsync(const std::vector<TableOperation>& operations,
                   std::function<void(CommitResult)> done) override;
  std::uint64_t SentRequests() const override { return this->sent; }

 private:
  HttpClient client;
  std::atomic<std::uint64_t> sent{0};
};

}  // namespace quetzalvale
