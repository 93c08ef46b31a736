// unguarded-entry: the entry without one guard, for scenarios that must then fail.
#include "entry/entry_process.h"
#include "tests/unguarded/options.h"

namespace quetzalvale {
namespace {

constexpr int kHttpThreads = 8;

/// Returns the oldest request that the owner has taken, whichever the answer belongs to.
RequestId FirstTaken(const ForwardTable& forwards, RequestId named) {
  const std::vector<RequestId> open = forwards.DueRequests(Time::max());
  return open.empty() ? named : open.front();
}

/// Returns false when there is no such guard.
bool Remove(const std::string& guard, EntryGuards& guards) {
  if (guard == "never_sent") {
    guards.never_sent = [](const Error&) { return true; };
  } else if (guard == "all_outcomes") {
    guards.all_outcomes = [](std::size_t done, std::size_t) { return done > 0; };
  } else if (guard == "answered_request") {
    guards.answered_request = FirstTaken;
  } else if (guard == "may_hand_over") {
    guards.may_hand_over = [](bool) { return true; };
  } else if (guard == "key_version") {
    guards.key_version = [] { return std::nullopt; };
  } else if (guard == "change_version") {
    guards.change_version = [](std::uint64_t) { return std::nullopt; };
  } else {
    return false;
  }
  return true;
}

}  // namespace
}  // namespace quetzalvale

int main(int argc, char** argv) {
  return quetzalvale::RunUnguarded<quetzalvale::EntryProcess, quetzalvale::EntryGuards>(
      argc, argv, "unguarded-entry", quetzalvale::kHttpThreads, quetzalvale::Remove);
}
