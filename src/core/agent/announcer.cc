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
/// Intervals at which an announcement is repeated that the entry answered without recording the
/// agent, because it has no configuration yet. They double from the first to the last, which
/// bounds the traffic with many entries that wait for their configuration.
constexpr Milliseconds kMinAnnounceInterval{500};
constexpr int kMaxDoublings = 3;
/// Also the longest retry interval at an entry that does not answer, while no entry counts the
/// agent as a member.
constexpr Milliseconds kMaxAnnounceInterval = kMinAnnounceInterval * (1 << kMaxDoublings);
/// Limits of the time between two messages to an entry while no entry counts the agent as a member.
/// The time grows with the length of that period: in large services many agents are beyond the
/// subsets of all entries for good, and 450 of them send an entry 15 heartbeats a second.
constexpr Milliseconds kMinUnusedInterval{1000};
constexpr Milliseconds kMaxUnusedInterval{30000};
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
  if (address.empty() || this->entries.contains(address) ||
      (this->entries.size() >= kMaxEntries && !this->DropLongestSilent(now))) {
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

void Announcer::SetListed(const std::vector<std::string>& addresses, Time now) {
  for (auto& [address, entry] : this->entries) {
    entry.listed = false;
  }
  for (const std::string& address : addresses) {
    this->AddEntry(address, now);
    const auto found = this->entries.find(address);
    if (found != this->entries.end()) {
      found->second.listed = true;
    }
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

bool Announcer::IsUsed() const {
  return std::ranges::any_of(this->entries, [](const auto& item) {
    return item.second.member && item.second.failures == 0;
  });
}

std::optional<Time> Announcer::UnusedSince() const {
  return this->unused ? std::optional(this->unused->since) : std::nullopt;
}

std::size_t Announcer::EntriesIn(EntryState state) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->entries, [state](const auto& item) { return StateOf(item.second) == state; }));
}

Announcer::EntryState Announcer::StateOf(const Entry& entry) {
  if (entry.failures > 0) {
    return EntryState::kSilent;
  }
  if (!entry.answered_once) {
    return EntryState::kUnknown;
  }
  if (!entry.recorded) {
    return EntryState::kUnrecorded;
  }
  return entry.member ? EntryState::kMember : EntryState::kRecorded;
}

std::string_view EntryStateText(Announcer::EntryState state) {
  switch (state) {
    case Announcer::EntryState::kUnknown:
      return "unknown";
    case Announcer::EntryState::kSilent:
      return "silent";
    case Announcer::EntryState::kUnrecorded:
      return "unrecorded";
    case Announcer::EntryState::kRecorded:
      return "recorded";
    case Announcer::EntryState::kMember:
      return "member";
  }
  return "unknown";
}

void Announcer::ReportState(const std::string& address, Entry& entry) {
  const EntryState state = StateOf(entry);
  if (std::exchange(entry.reported_state, state) != state && this->state_changed) {
    this->state_changed(address, state);
  }
}

Time::duration Announcer::UnusedInterval(Time now) const {
  // Half of the time since the last change makes each interval about as long as all before it.
  return std::clamp<Time::duration>((now - this->unused->last_change) / 2, kMinUnusedInterval,
                                    kMaxUnusedInterval);
}

bool Announcer::IsHeartbeatDue(const std::string& address, const Entry& entry, Time now) const {
  if (!entry.in_flight.empty()) {
    return entry.in_flight.size() < kMaxInFlight &&
           now - entry.last_sent >= this->health.heartbeat && this->is_active(address);
  }
  const bool is_unused = this->unused && !this->leaving;
  if (entry.failures > 0 || entry.unrecorded > 0) {
    return now >= entry.retry_at || (is_unused && now - entry.last_sent >= kMaxAnnounceInterval);
  }
  const Time::duration idle = now - entry.last_message;
  const Milliseconds interval =
      entry.member ? this->health.idle_heartbeat : this->health.distant_heartbeat;
  return (is_unused && now - entry.last_sent >= this->UnusedInterval(now)) || idle >= interval ||
         (idle >= this->health.heartbeat && this->is_active(address));
}

std::vector<Announcer::Due> Announcer::TakeDue(Time now) {
  this->DropSilent(now);
  if (this->IsUsed()) {
    this->unused.reset();
  } else if (!this->unused) {
    this->unused = Unused{now, now};
  }
  std::vector<Due> due;
  for (auto& [address, entry] : this->entries) {
    if (!entry.in_flight.empty() && now - entry.last_sent >= kInFlightTimeout) {
      entry.in_flight.clear();
      ++entry.failures;
      this->ReportState(address, entry);
    }
    if (entry.announce_now || this->IsHeartbeatDue(address, entry, now)) {
      // An entry that never answered an announcement, or did not record the agent, does not know
      // it, so a heartbeat is no use to it.
      const bool full =
          entry.announce_now || !entry.answered_once || entry.unrecorded > 0 || this->leaving;
      entry.announce_now = false;
      entry.last_sent = now;
      entry.last_message = now;
      entry.in_flight.push_back({full, this->leaving});
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
  const Sent sent = TakeInFlight(entry);
  entry.knows_of_leaving = sent.leaving || entry.knows_of_leaving;
  const bool changed =
      entry.failures > 0 || entry.incarnation != reply.entry.incarnation || !reply.known;
  if (this->unused && changed) {
    this->unused->last_change = now;
  }
  entry.answered_once = true;
  entry.incarnation = reply.entry.incarnation;
  entry.silent_since.reset();
  entry.failures = 0;
  if (reply.known) {
    entry.unrecorded = 0;
  } else if (sent.full) {
    entry.retry_at = now + kMinAnnounceInterval * (1 << std::min(entry.unrecorded, kMaxDoublings));
    ++entry.unrecorded;
  } else {
    entry.announce_now = true;
  }
  this->ApplyReply(entry, reply, now);
  this->ReportState(address, entry);
}

void Announcer::HandleNotice(const AnnounceReply& notice, Time now) {
  this->AddEntry(notice.entry, now);
  const auto found = this->entries.find(notice.entry.address);
  if (found != this->entries.end() && found->second.incarnation == notice.entry.incarnation) {
    this->ApplyReply(found->second, notice, now);
    this->ReportState(found->first, found->second);
  }
}

void Announcer::ApplyReply(Entry& entry, const AnnounceReply& reply, Time now) {
  entry.recorded = reply.known;
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
  this->ReportState(address, entry);
}

std::vector<std::string> Announcer::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, entry] : this->entries) {
    addresses.push_back(address);
  }
  return addresses;
}

Announcer::Sent Announcer::TakeInFlight(Entry& entry) {
  if (entry.in_flight.empty()) {
    return {};
  }
  const Sent sent = entry.in_flight.front();
  entry.in_flight.pop_front();
  return sent;
}

bool Announcer::DropLongestSilent(Time now) {
  auto longest = this->entries.end();
  for (auto item = this->entries.begin(); item != this->entries.end(); ++item) {
    const Entry& entry = item->second;
    if (!entry.seed && entry.silent_since && now - *entry.silent_since >= kDropSilentAfter &&
        (longest == this->entries.end() || *entry.silent_since < *longest->second.silent_since)) {
      longest = item;
    }
  }
  if (longest == this->entries.end()) {
    return false;
  }
  this->entries.erase(longest);
  return true;
}

void Announcer::DropSilent(Time now) {
  const auto dropped = std::erase_if(this->entries, [now](const auto& item) {
    return !item.second.seed && !item.second.listed && item.second.silent_since &&
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
