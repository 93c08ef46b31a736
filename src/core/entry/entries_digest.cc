#include "core/entry/entries_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace quetzalvale {
namespace {

void AppendEntry(const EntryInfo& entry, std::string& text) {
  text += entry.incarnation.Text();
  text += ' ';
  text += entry.address;
  text += '\n';
}

}  // namespace

std::uint64_t DigestOf(std::span<const EntryInfo> entries,
                       std::span<const Succession> successions) {
  if (entries.empty() && successions.empty()) {
    return kEmptyDigest;
  }
  std::string text;
  for (const EntryInfo& entry : entries) {
    AppendEntry(entry, text);
  }
  for (const Succession& succession : successions) {
    text += succession.departed.Text();
    text += '>';
    AppendEntry(succession.successor, text);
  }
  return std::max<std::uint64_t>(kEmptyDigest + 1, XXH64(text.data(), text.size(), 0));
}

}  // namespace quetzalvale
