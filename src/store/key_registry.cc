#include "store/key_registry.h"

#include <utility>

#include "runtime/log.h"
#include "store/retry.h"

namespace quetzalvale {
namespace {

constexpr const char* kTable = "keys";

Error Unavailable(const std::string& reason) {
  return {ErrorKind::kPlatformUnavailable,
          "the platform is unavailable (" + reason +
              "); submit again later with the same key, and use a ticket for new work"};
}

}  // namespace

KeyRegistry::KeyRegistry(TableClient& table, Incarnation self, std::function<std::uint64_t()> nonce,
                         std::chrono::milliseconds patience,
                         std::function<std::optional<std::uint64_t>()> row_version)
    : table(table),
      self(self),
      nonce(std::move(nonce)),
      patience(patience),
      row_version(std::move(row_version)) {}

Result<Ticket> KeyRegistry::Claim(const std::string& service, const std::string& key,
                                  std::uint64_t body_hash, const Ticket& ticket) {
  const std::string row_key = service + "/" + key;
  Json::Value value;
  value["incarnation"] = this->self.Text();
  value["nonce"] = std::to_string(this->nonce());
  value["ticket"] = ticket.Text();
  value["body_hash"] = std::to_string(body_hash);
  Attempts attempts(this->patience);
  std::string reason;
  bool maybe_applied = false;
  do {
    const auto result = this->table.Commit({{kTable, row_key, value, this->row_version()}});
    const auto* error = std::get_if<PlatformError>(&result);
    if (error == nullptr) {
      return ticket;
    }
    reason = error->message;
    const bool conflict = error->failure == PlatformFailure::kConflict;
    maybe_applied = maybe_applied || conflict || error->MaybeApplied();
    if (!maybe_applied) {
      return Unavailable(reason);
    }
    if (!conflict) {
      Log(LogLevel::kWarning, 3501, "claim_unresolved", "key=" + row_key + " reason=" + reason);
    }
    if (auto owner = this->ReadOwner(row_key)) {
      return *std::move(owner);
    }
  } while (attempts.Again());
  return Unavailable(reason);
}

std::optional<Result<Ticket>> KeyRegistry::ReadOwner(const std::string& row_key) {
  const auto row = this->table.Read(kTable, row_key);
  const auto* found = std::get_if<std::optional<TableRow>>(&row);
  if (found == nullptr || !*found) {
    return std::nullopt;
  }
  const Json::Value& value = (*found)->value;
  const bool has_ticket = value.isObject() && value["ticket"].isString();
  const auto ticket = Ticket::Parse(has_ticket ? value["ticket"].asString() : "");
  if (!ticket) {
    return Error{ErrorKind::kInternal,
                 "the row of key " + row_key + " in table keys is malformed; use another key"};
  }
  return *ticket;
}

}  // namespace quetzalvale
