#include "core/types.h"

#include <charconv>

namespace quetzalvale {
namespace {

constexpr std::size_t kHexDigits = 16;

std::string Hex(std::uint64_t value) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(kHexDigits, '0');
  for (std::size_t i = 0; i < kHexDigits; ++i) {
    text[kHexDigits - 1 - i] = kDigits[(value >> (4 * i)) & 0xf];
  }
  return text;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) {
    return std::nullopt;
  }
  return value;
}

/// Accepts only the form written by std::to_string, so that every ticket has exactly one text form.
std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  const auto value = ParseNumber(text, 10);
  if (!value || std::to_string(*value) != text) {
    return std::nullopt;
  }
  return value;
}

std::size_t HashCombine(std::size_t seed, std::size_t value) {
  constexpr std::size_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
  return seed ^ (value + kGoldenRatio + (seed << 6) + (seed >> 2));
}

}  // namespace

std::string Incarnation::Text() const { return Hex(this->high) + Hex(this->low); }

std::optional<Incarnation> Incarnation::Parse(std::string_view text) {
  if (text.size() != 2 * kHexDigits) {
    return std::nullopt;
  }
  const auto high = ParseNumber(text.substr(0, kHexDigits), 16);
  const auto low = ParseNumber(text.substr(kHexDigits), 16);
  if (!high || !low) {
    return std::nullopt;
  }
  const Incarnation parsed{*high, *low};
  if (parsed.Text() != text) {
    return std::nullopt;
  }
  return parsed;
}

Incarnation Incarnation::Draw(const std::function<std::uint64_t()>& next) {
  Incarnation drawn;
  while (drawn.IsNil()) {
    drawn.high = next();
    drawn.low = next();
  }
  return drawn;
}

std::string Ticket::Text() const {
  return this->service + "~" + this->owner.Text() + "~" + std::to_string(this->sequence) + "~" +
         std::to_string(this->roster);
}

std::optional<Ticket> Ticket::Parse(std::string_view text) {
  const std::size_t roster_at = text.rfind('~');
  if (roster_at == std::string_view::npos || roster_at == 0) {
    return std::nullopt;
  }
  const std::size_t sequence_at = text.rfind('~', roster_at - 1);
  if (sequence_at == std::string_view::npos || sequence_at == 0) {
    return std::nullopt;
  }
  const std::size_t owner_at = text.rfind('~', sequence_at - 1);
  if (owner_at == std::string_view::npos || owner_at == 0) {
    return std::nullopt;
  }
  const auto owner = Incarnation::Parse(text.substr(owner_at + 1, sequence_at - owner_at - 1));
  const auto sequence = ParseDecimal(text.substr(sequence_at + 1, roster_at - sequence_at - 1));
  const auto roster = ParseDecimal(text.substr(roster_at + 1));
  if (!owner || !sequence || !roster) {
    return std::nullopt;
  }
  return Ticket{std::string(text.substr(0, owner_at)), *owner, *sequence, *roster};
}

std::string TaskKey::Text() const {
  return this->ticket.Text() + "/" + std::to_string(this->index);
}

std::optional<TaskKey> TaskKey::Parse(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  auto ticket = Ticket::Parse(text.substr(0, slash));
  const auto index = ParseDecimal(text.substr(slash + 1));
  if (!ticket || !index || *index > UINT32_MAX) {
    return std::nullopt;
  }
  return TaskKey{std::move(*ticket), static_cast<std::uint32_t>(*index)};
}

}  // namespace quetzalvale

using quetzalvale::HashCombine;

std::size_t std::hash<quetzalvale::Incarnation>::operator()(
    const quetzalvale::Incarnation& value) const noexcept {
  return HashCombine(value.high, value.low);
}

std::size_t std::hash<quetzalvale::Ticket>::operator()(
    const quetzalvale::Ticket& value) const noexcept {
  return HashCombine(std::hash<quetzalvale::Incarnation>()(value.owner), value.sequence);
}

std::size_t std::hash<quetzalvale::TaskKey>::operator()(
    const quetzalvale::TaskKey& value) const noexcept {
  return HashCombine(std::hash<quetzalvale::Ticket>()(value.ticket), value.index);
}
