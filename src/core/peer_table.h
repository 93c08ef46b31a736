/// Other entries, as seen by one entry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace quetzalvale {

/// One entry incarnation that was heard directly.
struct Peer {
  EntryInfo info;
  Time last_heard{};
  bool leaving = false;
  /// Another incarnation has taken its address.
  bool gone = false;
  std::vector<RosterItem> roster;
  std::uint64_t roster_number = 0;
  std::uint64_t complete_from = 0;
  std::map<std::string, std::uint64_t> configuration_versions;
  /// The own roster number that it has confirmed, and when it was last sent in full.
  std::uint64_t confirmed_roster = 0;
  Time roster_sent{};
};

/// Schedules hellos, keeps peers' rosters also after they are gone, and knows who answers for
/// entries that have left. Not thread-safe.
class PeerTable {
 public:
  PeerTable(EntryInfo self, const std::vector<std::string>& seed_addresses);

  /// Notes a message from the entry. Returns nullptr for an incarnation that is gone (a delayed
  /// message) and for this entry's own address.
  Peer* Hear(const EntryInfo& entry, Time now);

  /// Notes that the entry answered a call just now, which proves that it has its address.
  Peer* HearReply(const EntryInfo& entry, Time now);

  /// Takes in what a hello or a reply to one says. Precondition: the sender was heard.
  void Read(const Hello& hello, Time now);

  /// Returns the peer or nullptr.
  Peer* Find(const Incarnation& entry);
  const Peer* Find(const Incarnation& entry) const;
  const std::map<Incarnation, Peer>& Peers() const { return this->peers; }

  /// Whether the entry was heard within the time and its address was not taken.
  bool IsAlive(const Incarnation& entry, Time::duration within, Time now) const;
  std::vector<EntryInfo> Alive(Time::duration within, Time now) const;

  /// Marks the incarnation as gone: another one answered at its address.
  void MarkGone(const Incarnation& entry);

  // ---- Hellos ----

  /// Asks for a hello to every peer at once.
  void HelloSoon(Time now);

  /// Returns the addresses that a hello goes to now, and notes that each is under way.
  std::vector<std::string> TakeDue(Time::duration interval, Time now);

  /// Notes the roster number in the hello that goes to the address; zero when left out.
  void HelloSent(const std::string& address, std::uint64_t roster_number, Time now);

  /// Notes the result of a hello. `entry` is the incarnation that answered, if any did.
  void HelloDone(const std::string& address, const Incarnation* entry, Time now);

  /// Whether the hello to this address must carry the roster with this number.
  bool NeedsRoster(const std::string& address, std::uint64_t number, Time now) const;

  /// Number of addresses from the settings at which no entry was ever heard.
  std::size_t UnheardSeeds() const;

  /// Whether no hello is under way and every live peer has had one since HelloSoon.
  bool AllTold(Time::duration within, Time now) const;

  // ---- Departed entries ----

  /// Notes who answers for the departed entry. A later word from another source does not replace
  /// the first one unless `authoritative` is set.
  void AddSuccession(const Succession& succession, bool authoritative);

  /// Follows successions from the departed entry to the last successor.
  std::optional<EntryInfo> FindSuccessor(const Incarnation& departed) const;
  std::vector<Succession> Successions() const;

  struct RosterView {
    std::vector<RosterItem> agents;
    /// The agents are all that the owner can have used for the ticket.
    bool complete = false;
  };
  /// What is known of the agents that the owner can have used for the ticket.
  RosterView RosterFor(const Ticket& ticket) const;

  /// Configuration version of the service that each live peer serving it reported last.
  std::map<Incarnation, std::uint64_t> Versions(const std::string& service, Time::duration within,
                                                Time now) const;

 private:
  struct Target {
    bool seed = false;
    bool in_flight = false;
    Time in_flight_until{};
    Time next{};
    Time last_answered{};
    Time::duration backoff{0};
    std::uint64_t sent_roster = 0;
    bool told = true;
  };

  void AddTarget(const std::string& address, bool seed, Time now);
  void MarkOthersGone(const EntryInfo& entry);
  /// Forgets the peer that was not heard for longest when the table is full.
  void MakeRoom();
  const Peer* FindByAddress(const std::string& address) const;

  EntryInfo self;
  std::map<Incarnation, Peer> peers;
  std::map<std::string, Target> targets;
  std::map<Incarnation, EntryInfo> successors;
  std::deque<Incarnation> succession_order;
};

}  // namespace quetzalvale
