/// The other entries known to one entry: membership, rosters and successions.
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

/// An entry incarnation from which a message was received directly.
struct Peer {
  EntryInfo info;
  Time first_heard{};
  Time last_heard{};
  /// Time of the first failed call since the last message; empty when none has failed.
  std::optional<Time> suspected_since;
  bool leaving = false;
  /// Another incarnation has taken over its address.
  bool gone = false;
  /// Its roster at roster_number. Incremental changes are applied only if they leave no gap.
  std::vector<RosterItem> roster;
  std::uint64_t roster_number = 0;
  std::uint64_t complete_from = 0;
  /// Digest of the entry and succession lists last received from it.
  std::uint64_t digest = 0;
  std::map<std::string, std::uint64_t> configuration_versions;
  /// Roster number and digest of this entry that the peer last acknowledged.
  std::uint64_t confirmed_roster = 0;
  std::uint64_t confirmed_digest = 0;
};

/// Schedules hellos to other entries, tracks which of them are alive, keeps their rosters after
/// they have gone, and records the successors of entries that have left. Not thread-safe.
class PeerTable {
 public:
  PeerTable(EntryInfo self, const std::vector<std::string>& seed_addresses);

  /// Records a message from the entry. Returns nullptr for an incarnation that is gone (a delayed
  /// message) and for this entry's own address.
  Peer* RecordMessage(const EntryInfo& entry, Time now);

  /// Records a reply from the entry, which proves that it owns its address.
  Peer* RecordReply(const EntryInfo& entry, Time now);

  /// Applies the contents of a hello or of its reply. Returns false if its roster changes were
  /// ignored because they leave a gap after the stored roster. Precondition: the message was
  /// recorded with RecordMessage or RecordReply.
  bool ApplyHello(const Hello& hello, Time now);

  /// Returns the peer or nullptr.
  Peer* Find(const Incarnation& entry);
  const Peer* Find(const Incarnation& entry) const;
  const std::map<Incarnation, Peer>& Peers() const { return this->peers; }

  /// Number of peer incarnations recorded since the start; never decreases.
  std::uint64_t TotalPeersSeen() const { return this->total_peers_seen; }

  /// Whether the entry counts as alive. A peer is alive while its last message is younger than
  /// `within`. After that it stays alive for three rotations of hellos, since no hello may have
  /// been due yet, unless calls to it have failed for three hello intervals.
  bool IsAlive(const Incarnation& entry, Time::duration within, Time now) const;
  std::vector<EntryInfo> LivePeers(Time::duration within, Time now) const;

  /// Marks the incarnation as gone: another one answered at its address.
  void MarkGone(const Incarnation& entry);

  // ---- Hellos ----

  /// Requests a hello to every peer with the next TakeDue.
  void RequestHelloToAll();

  /// Moves the address to the front of the rotation.
  void PrioritizeHello(const std::string& address);

  /// Records a failed call to the peer and requests a hello to check whether it is alive.
  void Suspect(const Incarnation& entry, Time now);

  /// Returns the addresses to send a hello to now, and marks each as in flight. One address per
  /// interval is taken in rotation; new and explicitly requested ones are due at once.
  std::vector<std::string> TakeDue(Time::duration interval, Time now);

  /// Records the result of a hello.
  void OnHelloResult(const std::string& address, bool answered, Time now);

  /// Returns the peer that owns the address, or nullptr.
  const Peer* FindByAddress(const std::string& address) const;

  /// Adds an address to send hellos to, unless it is known, is this entry's own, or the table is
  /// full.
  void AddTarget(const std::string& address, bool seed, Time now);

  /// Number of seed addresses from the settings at which no peer is known.
  std::size_t UnreachedSeeds() const;

  /// Whether every live peer was sent a hello since RequestHelloToAll and none of these is in
  /// flight.
  bool IsHelloRoundComplete(Time::duration within, Time now) const;

  // ---- Departed entries ----

  /// Records the successor that answers for a departed entry. The first record is kept unless
  /// `authoritative` is set.
  void AddSuccession(const Succession& succession, bool authoritative);

  /// Follows the chain of successions from the departed entry to the last successor.
  std::optional<EntryInfo> FindSuccessor(const Incarnation& departed) const;
  std::vector<Succession> Successions() const;

  struct RosterView {
    std::vector<RosterItem> agents;
    /// `agents` contains every agent that the owner can have used for the ticket.
    bool complete = false;
  };
  /// Returns the known agents that the owner can have used for the ticket.
  RosterView RosterFor(const Ticket& ticket) const;

  /// Time that one rotation of hellos through all answering addresses takes.
  Time::duration RotationPeriod() const;

  /// Returns the service's configuration version that each live peer reported last.
  std::map<Incarnation, std::uint64_t> ConfigurationVersions(const std::string& service,
                                                             Time::duration within, Time now) const;

 private:
  struct Target {
    bool seed = false;
    bool in_flight = false;
    Time in_flight_until{};
    Time next{};
    Time last_answered{};
    Time last_sent{};
    /// Zero while the address answers; only then it takes part in the rotation.
    Time::duration backoff{0};
    /// A hello was sent since RequestHelloToAll.
    bool hello_sent = false;
  };

  bool IsReady(const Target& target, Time now) const;
  void ApplyRoster(Peer& peer, const Hello& hello);
  void MarkOthersGone(const EntryInfo& entry);
  /// Evicts the peer with the oldest last message if the table is full.
  void EvictIfFull();

  EntryInfo self;
  Time::duration interval{0};
  Time next_rotation{};
  std::uint64_t total_peers_seen = 0;
  std::map<Incarnation, Peer> peers;
  std::map<std::string, Target> targets;
  std::map<Incarnation, EntryInfo> successors;
  std::deque<Incarnation> succession_order;
};

}  // namespace quetzalvale
