/// Decides when an agent announces itself to which entries.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace quetzalvale {

/// Announces to the seed addresses and to entries learned from replies: at once when an address is
/// new, and as a heartbeat when the channel was idle. Addresses that do not answer are tried less
/// often; learned ones are dropped after a while, seeds never. Not thread-safe.
class Announcer {
 public:
  explicit Announcer(const std::vector<std::string>& seeds);

  void SetHeartbeat(Milliseconds new_heartbeat) { this->heartbeat = new_heartbeat; }

  /// Adds an entry unless it is known or there are too many.
  void Learn(const std::string& address, Time now);

  /// Notes a sign of life that this agent gave the entry by another message. It replaces the next
  /// heartbeat, but not the first announcement.
  void NoteTraffic(const std::string& address, Time now);

  /// Makes an announcement due now, even while another is under way.
  void AnnounceNow(const std::string& address);
  void AnnounceNowToAll();

  /// From now on announcements tell the entries that the agent is leaving.
  void Leave();

  /// Whether every entry that answers has answered an announcement made since Leave.
  bool AllKnowOfLeaving() const;

  /// Returns the addresses to announce to now and counts them as sent; drops learned entries that
  /// have not answered for long.
  std::vector<std::string> TakeDue(Time now);

  void Answered(const std::string& address, Time now);
  void Failed(const std::string& address, Time now);

  std::vector<std::string> Addresses() const;

 private:
  struct Entry {
    bool seed = false;
    bool forced = true;
    bool answered_once = false;
    bool knows_of_leaving = false;
    /// Time of the last answer, or when the entry became known.
    Time last_answer{};
    Time due{};
    Time last_sent{};
    int failures = 0;
    /// Announcements without a result so far, in order of sending: whether they told of leaving.
    std::deque<bool> under_way;
  };

  void DropSilent(Time now);
  /// Takes the oldest announcement under way. Returns whether it told of leaving.
  static bool TakeUnderWay(Entry& entry);

  Milliseconds heartbeat{1000};
  bool leaving = false;
  std::map<std::string, Entry> entries;
};

}  // namespace quetzalvale
