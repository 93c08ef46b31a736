/// Decides when the agent announces itself, and to which entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/messages.h"
#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

/// Announces the agent to the seed entries and to entries discovered through replies. Sends a full
/// announcement when something has to be known at once; otherwise a heartbeat after the channel has
/// been idle for an interval that depends on whether the entry uses the agent and has tasks on it.
/// Unanswered announcements are retried with increasing intervals. Discovered entries that stay
/// silent are dropped, seeds never. Not thread-safe.
class Announcer {
 public:
  /// Returns whether the agent holds unfinished tasks or undelivered outcomes of the entry at this
  /// address.
  using ActiveHook = std::function<bool(const std::string& address)>;

  struct Due {
    std::string address;
    /// Whether to send a full announcement instead of a heartbeat.
    bool full = false;
    /// Value for Heartbeat::entries_digest.
    std::uint64_t entries_digest = 0;
  };

  /// What the agent knows of an entry's view of it.
  enum class EntryState : std::uint8_t {
    /// No announcement has been answered.
    kUnknown,
    /// The last announcement or heartbeat failed.
    kSilent,
    /// The entry answers, but has no record of the agent.
    kUnrecorded,
    /// The entry has a record of the agent and does not use it.
    kRecorded,
    kMember
  };
  /// Receives each change of an entry's state. Must not call the announcer.
  using StateHook = std::function<void(const std::string& address, EntryState state)>;

  Announcer(const std::vector<std::string>& seeds, ActiveHook is_active);

  void SetStateHook(StateHook new_hook) { this->state_changed = std::move(new_hook); }

  /// Sets the heartbeat intervals.
  void SetIntervals(const ServiceConfiguration::Health& new_health) { this->health = new_health; }

  /// Adds an entry, unless it is already known. At the limit on entries it takes the place of the
  /// one that has been silent for the longest time, or is not added if none is silent for long.
  void AddEntry(const std::string& address, Time now);

  /// Adds an entry. If it has answered before as another incarnation, makes a full announcement
  /// to it due now.
  void AddEntry(const EntryInfo& info, Time now);

  /// Replaces the set of registered entries. They are added, and not dropped for their silence
  /// while they remain in the set.
  void SetListed(const std::vector<std::string>& addresses, Time now);

  /// Records that another message was sent to the entry. It replaces the next heartbeat, but not
  /// the first announcement.
  void RecordTraffic(const std::string& address, Time now);

  /// Makes a full announcement due now, even while another one is in flight.
  void AnnounceNow(const std::string& address);
  void AnnounceNowToAll();

  /// Makes announcements due to all entries; from now on they say that the agent is leaving.
  void Leave();

  /// Whether every entry that responds has answered an announcement sent after Leave().
  bool AllKnowOfLeaving() const;

  /// Returns the messages to send now and counts them as sent. Drops discovered entries that have
  /// been silent for too long.
  std::vector<Due> TakeDue(Time now);

  /// Records an answer of the entry to the oldest announcement or heartbeat in flight.
  void Answered(const std::string& address, const AnnounceReply& reply, Time now);
  /// Records that an announcement or heartbeat failed, and schedules a retry.
  void Failed(const std::string& address, Time now);

  /// Processes a message that an entry sent without being asked.
  void HandleNotice(const AnnounceReply& notice, Time now);

  /// Since when no entry that answers counts the agent as a member, as of the last TakeDue; empty
  /// while one does.
  std::optional<Time> UnusedSince() const;

  /// Number of known entries in the state.
  std::size_t EntriesIn(EntryState state) const;

  /// Addresses of all entries, seeds included.
  std::vector<std::string> Addresses() const;

 private:
  /// An announcement or heartbeat on its way.
  struct Sent {
    bool full = false;
    /// Whether it said that the agent is leaving.
    bool leaving = false;
  };
  struct Entry {
    bool seed = false;
    bool listed = false;
    bool announce_now = true;
    bool answered_once = false;
    bool knows_of_leaving = false;
    /// Incarnation in the last answer; nil before the first answer.
    Incarnation incarnation;
    bool recorded = false;
    bool member = false;
    /// The state last passed to the hook.
    EntryState reported_state = EntryState::kUnknown;
    std::uint64_t entries_digest = 0;
    /// Time of the last message of any kind to the entry.
    Time last_message{};
    /// Start of the period without an answer; empty while the entry answers.
    std::optional<Time> silent_since;
    Time retry_at{};
    Time last_sent{};
    int failures = 0;
    /// Announcements in a row that the entry answered without recording the agent.
    int unrecorded = 0;
    /// Messages without a result so far, oldest first.
    std::deque<Sent> in_flight;
  };

  /// Whether an entry that answers counts the agent as a member.
  bool IsUsed() const;
  static EntryState StateOf(const Entry& entry);
  void ReportState(const std::string& address, Entry& entry);
  bool IsHeartbeatDue(const std::string& address, const Entry& entry, Time now) const;
  /// Longest time between two messages to an entry while no entry counts the agent as a member.
  Time::duration UnusedInterval(Time now) const;
  void ApplyReply(Entry& entry, const AnnounceReply& reply, Time now);
  void DropSilent(Time now);
  /// Removes the entry that has been silent for the longest time, and at least for
  /// kDropSilentAfter. Returns whether there was one.
  bool DropLongestSilent(Time now);
  /// Removes the oldest message in flight and returns it.
  static Sent TakeInFlight(Entry& entry);

  ServiceConfiguration::Health health;
  ActiveHook is_active;
  StateHook state_changed;
  bool leaving = false;
  /// The present period in which no entry counts the agent as a member.
  struct Unused {
    Time since{};
    /// The last change at an entry during the period, or its start.
    Time last_change{};
  };
  std::optional<Unused> unused;
  std::map<std::string, Entry> entries;
};

/// Returns the name of the state in logs.
std::string_view EntryStateText(Announcer::EntryState state);

}  // namespace quetzalvale
