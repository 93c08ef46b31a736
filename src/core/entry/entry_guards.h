/// Checks on which the entry's correctness guarantees depend.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/entry/forward_table.h"
#include "core/result.h"

namespace quetzalvale {

/// Each guard is a replaceable function, so that a test can disable it and show that the guarantee
/// is then violated. Never changed by settings.
struct EntryGuards {
  /// Whether the error of a start message proves that the agent never received it. Only then are
  /// its tasks placed again without asking the agent.
  std::function<bool(const Error&)> never_sent = [](const Error& error) {
    return error.kind == ErrorKind::kUnreachable;
  };
  /// Whether a job may be answered as complete, given the number of tasks that completed and of all
  /// its tasks.
  std::function<bool(std::size_t, std::size_t)> all_outcomes =
      [](std::size_t done, std::size_t tasks) { return done >= tasks; };
  /// Returns the forwarded request that an answer belongs to, given the request id in the answer.
  std::function<RequestId(const ForwardTable&, RequestId)> answered_request =
      [](const ForwardTable& /*forwards*/, RequestId named) { return named; };
  /// Whether a leaving entry may hand over its ledgers. `finished` tells that no request is waiting
  /// for an answer any more.
  std::function<bool(bool)> may_hand_over = [](bool finished) { return finished; };
  /// Returns the version that a key's row must have for the claim of the key to succeed. Zero means
  /// that the row must not exist.
  std::function<std::optional<std::uint64_t>()> key_version = []() -> std::optional<std::uint64_t> {
    return 0;
  };
  /// Returns the version that a configuration row must have for a change to be written, given the
  /// version on which the change is based.
  std::function<std::optional<std::uint64_t>(std::uint64_t)> change_version =
      [](std::uint64_t expected) -> std::optional<std::uint64_t> { return expected; };
};

}  // namespace quetzalvale
