#include "core/announcer.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Learned entries without an answer for this long are dropped. Longer than the time after which
/// other entries stop naming a dead one, or it would be learned again at once.
constexpr Milliseconds kDropAfter{60000};
/// An announcement without a result after this time counts as failed. Longer than any inner call's
/// timeout.
constexpr Milliseconds kUnderWayLimit{30000};
/// Heartbeats to a silent entry are at most this many times rarer, so that an entry that comes back
/// knows the agent well before it would declare it dead.
constexpr int kRarestHeartbeat = 4;
/// Many times the number of entries that a service has.
constexpr std::size_t kMaxEntries = 256;

}  // namespace

Announcer::Announcer(const std::vector<std::string>& seeds) {
  for (const auto& address : seeds) {
    this->entries[address].seed = true;
  }
}

void Announcer::Learn(const std::string& address, Time now) {
  if (address.empty() || this->entries.contains(address) || this->entries.size() >= kMaxEntries) {
    return;
  }
  this->entries[address].last_answer = now;
}

void Announcer::NoteTraffic(const std::string& address, Time now) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end() && found->second.answered_once) {
    found->second.due = std::max(found->second.due, now + this->heartbeat);
  }
}

void Announcer::AnnounceNow(const std::string& address) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end()) {
    found->second.forced = true;
  }
}

void Announcer::AnnounceNowToAll() {
  for (auto& [address, entry] : this->entries) {
    entry.forced = true;
  }
}

void Announcer::Leave() {
  this->leaving = true;
  this->AnnounceNowToAll();
}

bool Announcer::AllKnowOfLeaving() const {
  return std::all_of(this->entries.begin(), this->entries.end(), [](const auto& item) {
    return item.second.knows_of_leaving ||
           (item.second.failures > 0 && item.second.under_way.empty());
  });
}

std::vector<std::string> Announcer::TakeDue(Time now) {
  this->DropSilent(now);
  std::vector<std::string> due;
  for (auto& [address, entry] : this->entries) {
    if (!entry.under_way.empty() && now - entry.last_sent >= kUnderWayLimit) {
      entry.under_way.clear();
      ++entry.failures;
    }
    const bool heartbeat_due = entry.under_way.empty() && now >= entry.due;
    if (entry.forced || heartbeat_due) {
      entry.forced = false;
      entry.last_sent = now;
      entry.due = now + this->heartbeat;
      entry.under_way.push_back(this->leaving);
      due.push_back(address);
    }
  }
  return due;
}

void Announcer::Answered(const std::string& address, Time now) {
  const auto found = this->entries.find(address);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.knows_of_leaving = TakeUnderWay(entry) || entry.knows_of_leaving;
  entry.answered_once = true;
  entry.last_answer = now;
  entry.failures = 0;
}

void Announcer::Failed(const std::string& address, Time now) {
  const auto found = this->entries.find(address);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  TakeUnderWay(entry);
  ++entry.failures;
  entry.due = now + this->heartbeat * std::min(entry.failures, kRarestHeartbeat);
}

std::vector<std::string> Announcer::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, entry] : this->entries) {
    addresses.push_back(address);
  }
  return addresses;
}

bool Announcer::TakeUnderWay(Entry& entry) {
  if (entry.under_way.empty()) {
    return false;
  }
  const bool told_of_leaving = entry.under_way.front();
  entry.under_way.pop_front();
  return told_of_leaving;
}

void Announcer::DropSilent(Time now) {
  std::erase_if(this->entries, [now](const auto& item) {
    return !item.second.seed && now - item.second.last_answer >= kDropAfter;
  });
}

}  // namespace quetzalvale
