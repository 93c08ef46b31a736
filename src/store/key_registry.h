/// Callers' idempotency keys in the platform's table.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "core/entry/entry_guards.h"
#include "core/result.h"
#include "core/types.h"
#include "store/table_client.h"

namespace quetzalvale {

/// Rows: table `keys`, key = `service/key`, value = {incarnation, nonce, ticket, body_hash}. A row
/// is inserted once and never changes. Thread-safe. All calls wait for the platform.
class KeyRegistry {
 public:
  /// `patience` bounds the time spent on one claim. `nonce` gives 64 random bits. `table` must
  /// outlive the registry.
  /// `row_version` is the version that the row must have for a claim; absent unless a test
  /// replaces it.
  KeyRegistry(
      TableClient& table, Incarnation self, std::function<std::uint64_t()> nonce,
      std::chrono::milliseconds patience,
      std::function<std::optional<std::uint64_t>()> row_version = EntryGuards().key_version);

  /// Binds the key to the ticket, or finds the ticket that it belongs to already.
  /// Error: kPlatformUnavailable; the job then must not run.
  Result<Ticket> Claim(const std::string& service, const std::string& key, std::uint64_t body_hash,
                       const Ticket& ticket);

 private:
  /// Returns the ticket of the row; nothing when there is no row or it cannot be read.
  std::optional<Result<Ticket>> ReadOwner(const std::string& row_key);

  TableClient& table;
  Incarnation self;
  std::function<std::uint64_t()> nonce;
  std::chrono::milliseconds patience;
  std::function<std::optional<std::uint64_t>()> row_version;
};

}  // namespace quetzalvale
