#include "core/agent/announcer.h"

#include <algorithm>
#include <utility>

namespace quetzalvale {
namespace {

/// Discovered entries that have not answered for this long are dropped. Longer than the time after
/// which other entries stop listing a dead one; otherwise it would be added again at once.
constexpr Milliseconds kDropSilentAfter{60000};
/// An announcement without a result after this time counts as failed. Longer than the timeout of
/// any call between entries and agents.
constexpr Milliseconds kInFlightTimeout{30000};
/// Upper limit of the retry interval, in heartbeat intervals. A silent entry that comes back gets
/// to know the agent well before it would declare it dead.
constexpr int kMaxRetryHeartbeats = 4;
/// Announcements and heartbeats to one entry without a result. A connection that has gone silent
/// keeps the result of one for as long as a call may take.
constexpr std::size_t kMaxInFlight = 3;
/// Far more than the number of entries of a service.
constexpr std::size_t kMaxEntries = 256;

}  // namespace

Announcer::Announcer(const std::vector<std::string>& seeds, ActiveHook is_active)
    : is_active(std::move(is_active)) {
  for (const auto& address : seeds) {
    this->entries[address].seed = true;
  }
}

void Announcer::AddEntry(const std::string& address, Time now) {
  if (address.empty() || this->entries.contains(address) || this->entries.size() >= kMaxEntries) {
    return;
  }
  this->entries[address].silent_since = now;
}

void Announcer::AddEntry(const EntryInfo& info, Time now) {
  this->AddEntry(info.address, now);
  const auto found = this->entries.find(info.address);
  if (found != this->entries.end() && found->second.answered_once &&
      found->second.incarnation != info.incarnation) {
    found->second.announce_now = true;
  }
}

void Announcer::RecordTraffic(const std::string& address, Time now) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end()) {
    found->second.last_message = now;
  }
}

void Announcer::AnnounceNow(const std::string& address) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end()) {
    found->second.announce_now = true;
  }
}

void Announcer::AnnounceNowToAll() {
  for (auto& [address, entry] : this->entries) {
    entry.announce_now = true;
  }
}

void Announcer::Leave() {
  this->leaving = true;
  this->AnnounceNowToAll();
}

bool Announcer::AllKnowOfLeaving() const {
  return std::all_of(this->entries.begin(), this->entries.end(), [](const auto& item) {
    return item.second.knows_of_leaving ||
           (item.second.failures > 0 && item.second.in_flight.empty());
  });
}

bool Announcer::IsHeartbeatDue(const std::string& address, const Entry& entry, Time now) const {
  if (!entry.in_flight.empty()) {
    return entry.in_flight.size() < kMaxInFlight &&
           now - entry.last_sent >= this->health.heartbeat && this->is_active(address);
  }
  if (entry.failures > 0) {
    return now >= entry.retry_at;
  }
  const Time::duration idle = now - entry.last_message;
  const Milliseconds interval =
      entry.member ? this->health.idle_heartbeat : this->health.distant_heartbeat;
  return idle >= interval || (idle >= this->health.heartbeat && this->is_active(address));
}

std::vector<Announcer::Due> Announcer::TakeDue(Time now) {
  this->DropSilent(now);
  std::vector<Due> due;
  for (auto& [address, entry] : this->entries) {
    if (!entry.in_flight.empty() && now - entry.last_sent >= kInFlightTimeout) {
      entry.in_flight.clear();
      ++entry.failures;
    }
    if (entry.announce_now || this->IsHeartbeatDue(address, entry, now)) {
      // An entry that never answered an announcement does not know the agent, so a heartbeat is no
      // use to it.
      const bool full = entry.announce_now || !entry.answered_once || this->leaving;
      entry.announce_now = false;
      entry.last_sent = now;
      entry.last_message = now;
      entry.in_flight.push_back(this->leaving);
      due.push_back({address, full, entry.entries_digest});
    }
  }
  return due;
}

void Announcer::Answered(const std::string& address, const AnnounceReply& reply, Time now) {
  const auto found = this->entries.find(address);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.knows_of_leaving = TakeInFlight(entry) || entry.knows_of_leaving;
  entry.answered_once = true;
  entry.incarnation = reply.entry.incarnation;
  entry.silent_since.reset();
  entry.failures = 0;
  entry.announce_now = entry.announce_now || !reply.known;
  this->ApplyReply(entry, reply, now);
}

void Announcer::HandleNotice(const AnnounceReply& notice, Time now) {
  this->AddEntry(notice.entry, now);
  const auto found = this->entries.find(notice.entry.address);
  if (found != this->entries.end() && found->second.incarnation == notice.entry.incarnation) {
    this->ApplyReply(found->second, notice, now);
  }
}

void Announcer::ApplyReply(Entry& entry, const AnnounceReply& reply, Time now) {
  entry.member = reply.member;
  entry.entries_digest = reply.entries_digest;
  for (const EntryInfo& info : reply.entries) {
    this->AddEntry(info, now);
  }
}

void Announcer::Failed(const std::string& address, Time now) {
  const auto found = this->entries.find(address);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  TakeInFlight(entry);
  ++entry.failures;
  if (!entry.silent_since) {
    entry.silent_since = now;
  }
  entry.retry_at = now + this->health.heartbeat * std::min(entry.failures, kMaxRetryHeartbeats);
}

std::vector<std::string> Announcer::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, entry] : this->entries) {
    addresses.push_back(address);
  }
  return addresses;
}

bool Announcer::TakeInFlight(Entry& entry) {
  if (entry.in_flight.empty()) {
    return false;
  }
  const bool told_of_leaving = entry.in_flight.front();
  entry.in_flight.pop_front();
  return told_of_leaving;
}

void Announcer::DropSilent(Time now) {
  const auto dropped = std::erase_if(this->entries, [now](const auto& item) {
    return !item.second.seed && item.second.silent_since &&
           now - *item.second.silent_since >= kDropSilentAfter;
  });
  if (dropped > 0) {
    // Entries send their list only to agents whose digest differs. Clearing the digests makes them
    // list the dropped entries again if they are still alive.
    for (auto& [address, entry] : this->entries) {
      entry.entries_digest = 0;
    }
  }
}

}  // namespace quetzalvale
