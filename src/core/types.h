/// Identifiers and value types shared by entries, agents and the protocol between them.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

// clang-tidy mistakes the literal zero inside defaulted comparisons for a null pointer, hence the
// NOLINT comments at operator<=>.

namespace quetzalvale {

/// Monotonic time, passed into the decision logic. Not comparable between processes.
using Time = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Seeded generator, passed into the decision logic so that runs are reproducible.
using Random = std::mt19937_64;

/// Identifies one run of a process: 128 random bits generated at start and never reused.
struct Incarnation {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Incarnation&) const = default;  // NOLINT(modernize-use-nullptr)

  /// Returns whether the identity is unset.
  bool IsNil() const { return this->high == 0 && this->low == 0; }

  /// Returns 32 lower-case hexadecimal digits.
  std::string Text() const;

  /// Parses the form written by Text(). Returns nothing for any other text.
  static std::optional<Incarnation> Parse(std::string_view text);

  /// Generates a new identity with the given generator of 64-bit numbers.
  static Incarnation Draw(const std::function<std::uint64_t()>& next);
};

/// Permission to submit one job once. Only the incarnation that owns a ticket starts its tasks.
struct Ticket {
  std::string service;
  Incarnation owner;
  std::uint64_t sequence = 0;
  /// Version of the owner's list of agents when the ticket was issued. Only agents that the owner
  /// used by then may run the job's tasks, so an entry that salvages the job knows which agents to
  /// ask.
  std::uint64_t roster = 0;

  auto operator<=>(const Ticket&) const = default;  // NOLINT(modernize-use-nullptr)

  /// Returns `service~owner~sequence~roster`.
  std::string Text() const;

  /// Parses the form written by Text(). Returns nothing for any other text.
  static std::optional<Ticket> Parse(std::string_view text);
};

/// Identifies one task by its job's ticket and its position in the job.
struct TaskKey {
  Ticket ticket;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;  // NOLINT(modernize-use-nullptr)

  /// Returns `ticket/index`.
  std::string Text() const;

  /// Parses the form written by Text(). Returns nothing for any other text.
  static std::optional<TaskKey> Parse(std::string_view text);
};

}  // namespace quetzalvale

template <>
struct std::hash<quetzalvale::Incarnation> {
  std::size_t operator()(const quetzalvale::Incarnation& value) const noexcept;
};

template <>
struct std::hash<quetzalvale::Ticket> {
  std::size_t operator()(const quetzalvale::Ticket& value) const noexcept;
};

template <>
struct std::hash<quetzalvale::TaskKey> {
  std::size_t operator()(const quetzalvale::TaskKey& value) const noexcept;
};
