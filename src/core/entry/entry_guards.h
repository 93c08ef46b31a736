/// The entry's checks on which the guarantees rest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/entry/forward_table.h"
#include "core/result.h"

namespace quetzalvale {

/// Each guard is a hook, so that a test can disable it and show that the guarantee then fails.
/// Never set from settings.
struct EntryGuards {
  /// Whether a failed start proves that the agent never got it. Only then its tasks are placed
  /// again at once.
  std::function<bool(const Error&)> never_sent = [](const Error& error) {
    return error.kind == ErrorKind::kUnreachable;
  };
  /// Whether the job may be answered as complete.
  std::function<bool(std::size_t, std::size_t)> all_outcomes =
      [](std::size_t done, std::size_t tasks) { return done >= tasks; };
  /// Returns the forwarded request that an answer belongs to.
  std::function<RequestId(const ForwardTable&, RequestId)> answered_request =
      [](const ForwardTable& /*forwards*/, RequestId named) { return named; };
  /// Whether a leaving entry may hand its ledgers over. `finished`: nobody waits any more.
  std::function<bool(bool)> may_hand_over = [](bool finished) { return finished; };
  /// Returns the version that a key's row must have when the key is claimed; zero: absent.
  std::function<std::optional<std::uint64_t>()> key_version = []() -> std::optional<std::uint64_t> {
    return 0;
  };
  /// Returns the version that a row must have when a change of the configuration is written.
  std::function<std::optional<std::uint64_t>(std::uint64_t)> change_version =
      [](std::uint64_t expected) -> std::optional<std::uint64_t> { return expected; };
};

}  // namespace quetzalvale
