/// Interface to the platform's transactional table service.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalvale {

/// What is known about a request that has no regular result.
enum class PlatformFailure {
  /// Not applied: a row had another version than expected.
  kConflict,
  /// Not applied: the platform refused the request (outage, rate).
  kRefused,
  /// Not applied: no connection was made.
  kNotConnected,
  /// The answer was lost or late. A write may have been applied, or may still be.
  kUnknown
};

struct PlatformError {
  PlatformFailure failure = PlatformFailure::kUnknown;
  std::string message;

  /// Returns whether a write may have taken effect.
  bool MaybeApplied() const { return this->failure == PlatformFailure::kUnknown; }
};

template <typename T>
using PlatformResult = std::variant<T, PlatformError>;

struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  Json::Value value;
};

struct TableOperation {
  std::string table;
  std::string key;
  /// Null deletes the row.
  Json::Value value;
  /// Zero: the row must be absent. Nothing: any version.
  std::optional<std::uint64_t> expected_version;
};

/// Implementations are thread-safe. Callbacks run on any thread, exactly once.
class TableClient {
 public:
  using RowResult = PlatformResult<std::optional<TableRow>>;
  using RowsResult = PlatformResult<std::vector<TableRow>>;
  /// New versions, in the order of the operations.
  using CommitResult = PlatformResult<std::vector<std::uint64_t>>;

  virtual ~TableClient() = default;

  virtual void ReadAsync(std::string_view table, std::string_view key,
                         std::function<void(RowResult)> done) = 0;
  virtual void ScanAsync(std::string_view table, std::string_view prefix, std::uint32_t limit,
                         std::function<void(RowsResult)> done) = 0;
  /// Applies all operations or none.
  virtual void CommitAsync(const std::vector<TableOperation>& operations,
                           std::function<void(CommitResult)> done) = 0;
  /// Requests sent so far, for the message count.
  virtual std::uint64_t SentRequests() const = 0;

  // These wait for the result. Not for use on callback threads.
  RowResult Read(std::string_view table, std::string_view key);
  RowsResult Scan(std::string_view table, std::string_view prefix, std::uint32_t limit);
  CommitResult Commit(const std::vector<TableOperation>& operations);
};

}  // namespace quetzalvale
