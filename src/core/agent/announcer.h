/// Decides when an agent announces itself to which entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

/// Announces to the seed addresses and to entries learned from replies: in full when something has
/// to be told at once, and as a heartbeat when the channel was idle for the interval of the entry's
/// relation to the agent. Addresses that do not answer are tried at a pace of their own; learned
/// ones are dropped after a while, seeds never. Not thread-safe.
class Announcer {
 public:
  /// Returns whether the agent holds tasks of the entry at this address.
  using ActiveHook = std::function<bool(const std::string& address)>;

  struct Due {
    std::string address;
    /// A full announcement, not a heartbeat.
    bool full = false;
    /// For Heartbeat::entries_digest.
    std::uint64_t entries_digest = 0;
  };

  Announcer(const std::vector<std::string>& seeds, ActiveHook is_active);

  void SetIntervals(const ServiceConfiguration::Health& new_health) { this->health = new_health; }

  /// Adds an entry unless it is known or there are too many.
  void AddEntry(const std::string& address, Time now);

  /// Learns the address, and announces to it at once when another process had it before.
  void AddEntry(const EntryInfo& info, Time now);

  /// Notes a sign of life that this agent gave the entry by another message. It replaces the next
  /// heartbeat, but not the first announcement.
  void RecordTraffic(const std::string& address, Time now);

  /// Makes a full announcement due now, even while another is under way.
  void AnnounceNow(const std::string& address);
  void AnnounceNowToAll();

  /// From now on announcements tell the entries that the agent is leaving.
  void Leave();

  /// Whether every entry that answers has answered an announcement made since Leave.
  bool AllKnowOfLeaving() const;

  /// Returns what to send now and counts it as sent; drops learned entries that have not answered
  /// for long.
  std::vector<Due> TakeDue(Time now);

  void Answered(const std::string& address, const AnnounceReply& reply, Time now);
  void Failed(const std::string& address, Time now);

  /// Takes in what an entry told unasked.
  void HandleNotice(const AnnounceReply& notice, Time now);

  std::vector<std::string> Addresses() const;

 private:
  struct Entry {
    bool seed = false;
    bool announce_now = true;
    bool answered_once = false;
    bool knows_of_leaving = false;
    /// Who answered last; nil before the first answer.
    Incarnation incarnation;
    bool member = false;
    std::uint64_t entries_digest = 0;
    /// Time of the last message to the entry of any kind.
    Time last_message{};
    /// Since when the entry has given no answer; empty while it answers.
    std::optional<Time> silent_since;
    Time retry_at{};
    Time last_sent{};
    int failures = 0;
    /// Announcements without a result so far, in order of sending: whether they told of leaving.
    std::deque<bool> in_flight;
  };

  bool IsHeartbeatDue(const std::string& address, const Entry& entry, Time now) const;
  void ApplyReply(Entry& entry, const AnnounceReply& reply, Time now);
  void DropSilent(Time now);
  /// Takes the oldest announcement under way. Returns whether it told of leaving.
  static bool TakeInFlight(Entry& entry);

  ServiceConfiguration::Health health;
  ActiveHook is_active;
  bool leaving = false;
  std::map<std::string, Entry> entries;
};

}  // namespace quetzalvale
