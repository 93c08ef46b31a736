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
  Time first_heard{};
  Time last_heard{};
  /// Since when calls to it have failed; empty after a sign of life.
  std::optional<Time> suspected_since;
  bool leaving = false;
  /// Another incarnation has taken its address.
  bool gone = false;
  /// Its roster as it was at roster_number. Changes are taken in only when none can be missing.
  std::vector<RosterItem> roster;
  std::uint64_t roster_number = 0;
  std::uint64_t complete_from = 0;
  /// Digest of the lists last taken from it.
  std::uint64_t digest = 0;
  std::map<std::string, std::uint64_t> configuration_versions;
  /// What it last said that it holds of this entry: roster number and digest.
  std::uint64_t confirmed_roster = 0;
  std::uint64_t confirmed_digest = 0;
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

  /// Takes in what a hello or a reply to one says. Returns false when the roster changes in it do
  /// not join those that are held, so that they were left out. Precondition: the sender was heard.
  bool Read(const Hello& hello, Time now);

  /// Returns the peer or nullptr.
  Peer* Find(const Incarnation& entry);
  const Peer* Find(const Incarnation& entry) const;
  const std::map<Incarnation, Peer>& Peers() const { return this->peers; }

  /// Number of incarnations that have appeared so far.
  std::uint64_t Arrivals() const { return this->arrivals; }

  /// Whether the entry may be called. The time is that after which one that calls fail to is given
  /// up; one that nothing was sent to lately is given three rounds of hellos.
  bool IsAlive(const Incarnation& entry, Time::duration within, Time now) const;
  std::vector<EntryInfo> Alive(Time::duration within, Time now) const;

  /// Marks the incarnation as gone: another one answered at its address.
  void MarkGone(const Incarnation& entry);

  // ---- Hellos ----

  /// Asks for a hello to every peer at once.
  void HelloSoon();

  /// Asks for a hello to the peer before the others of the rotation.
  void HelloNext(const std::string& address);

  /// A call to the peer failed: hellos find out whether it is alive.
  void Suspect(const Incarnation& entry, Time now);

  /// Returns the addresses that a hello goes to now, and notes that each is under way. In each
  /// interval one peer is next in rotation; besides, new addresses and those asked for go at once.
  std::vector<std::string> TakeDue(Time::duration interval, Time now);

  /// Notes the result of a hello.
  void HelloDone(const std::string& address, bool answered, Time now);

  /// The live peer at the address, or nullptr.
  const Peer* FindByAddress(const std::string& address) const;

  /// Adds an address unless it is known or there are too many.
  void AddTarget(const std::string& address, bool seed, Time now);

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

  /// Time in which every answering peer gets a hello.
  Time::duration Round() const;

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
    Time last_sent{};
    /// Zero while the address answers and the rotation applies.
    Time::duration backoff{0};
    /// A hello has been sent since HelloSoon.
    bool told = false;
  };

  bool IsReady(const Target& target, Time now) const;
  void TakeRoster(Peer& peer, const Hello& hello);
  void MarkOthersGone(const EntryInfo& entry);
  /// Forgets the peer that was not heard for longest when the table is full.
  void MakeRoom();

  EntryInfo self;
  Time::duration interval{0};
  Time next_rotation{};
  std::uint64_t arrivals = 0;
  std::map<Incarnation, Peer> peers;
  std::map<std::string, Target> targets;
  std::map<Incarnation, EntryInfo> successors;
  std::deque<Incarnation> succession_order;
};

}  // namespace quetzalvale
