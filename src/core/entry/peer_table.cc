#include "core/entry/peer_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/entry/entries_digest.h"

namespace quetzalvale {
namespace {

using std::chrono::seconds;

/// Live entries and those that have gone within about a day, in the largest deployment.
constexpr std::size_t kMaxPeers = 256;
constexpr std::size_t kMaxTargets = 256;
constexpr std::size_t kMaxSuccessions = 512;

/// A peer is declared dead after this many rotations of hellos without a message, or, while calls
/// to it fail, after this many hello intervals.
constexpr int kMaxSilentRounds = 3;

/// Retry interval for addresses that do not answer, and the time after which they are dropped.
constexpr seconds kMaxBackoff{10};
constexpr seconds kTargetExpiry{3600};

/// Every call reports a result; this only guards against a defect that loses one.
constexpr seconds kReplyTimeout{30};

/// Longest chain of successions that is followed; guards against cycles.
constexpr int kMaxSuccessionHops = 16;

}  // namespace

PeerTable::PeerTable(EntryInfo self, const std::vector<std::string>& seed_addresses)
    : self(std::move(self)) {
  for (const std::string& address : seed_addresses) {
    this->AddTarget(address, true, Time{});
  }
}

void PeerTable::AddTarget(const std::string& address, bool seed, Time now) {
  if (address.empty() || address == this->self.address || this->targets.size() >= kMaxTargets) {
    return;
  }
  const auto [found, added] = this->targets.try_emplace(address);
  if (added) {
    found->second.seed = seed;
    found->second.next = now;
    found->second.last_answered = now;
  }
}

void PeerTable::EvictIfFull() {
  if (this->peers.size() < kMaxPeers) {
    return;
  }
  const auto oldest = std::ranges::min_element(
      this->peers, {}, [](const auto& element) { return element.second.last_heard; });
  this->peers.erase(oldest);
}

Peer* PeerTable::RecordMessage(const EntryInfo& entry, Time now) {
  // A delayed message of the process that had this entry's address before: calls to it would reach
  // this entry itself.
  if (entry.address == this->self.address || entry.incarnation.IsNil()) {
    return nullptr;
  }
  auto found = this->peers.find(entry.incarnation);
  if (found != this->peers.end() && found->second.gone) {
    return nullptr;
  }
  if (found == this->peers.end()) {
    this->EvictIfFull();
    found = this->peers.emplace(entry.incarnation, Peer{}).first;
    found->second.info = entry;
    found->second.first_heard = now;
    ++this->total_peers_seen;
    this->MarkOthersGone(entry);
    this->AddTarget(entry.address, false, now);
  }
  found->second.last_heard = now;
  found->second.suspected_since.reset();
  return &found->second;
}

Peer* PeerTable::RecordReply(const EntryInfo& entry, Time now) {
  if (Peer* known = this->Find(entry.incarnation)) {
    known->gone = false;
  }
  Peer* peer = this->RecordMessage(entry, now);
  if (peer != nullptr) {
    this->MarkOthersGone(entry);
  }
  return peer;
}

void PeerTable::MarkOthersGone(const EntryInfo& entry) {
  for (auto& [incarnation, peer] : this->peers) {
    if (incarnation != entry.incarnation && peer.info.address == entry.address) {
      peer.gone = true;
    }
  }
}

void PeerTable::MarkGone(const Incarnation& entry) {
  if (Peer* peer = this->Find(entry)) {
    peer->gone = true;
  }
}

bool PeerTable::ApplyHello(const Hello& hello, Time now) {
  Peer* peer = this->Find(hello.entry.incarnation);
  if (peer == nullptr || peer->gone) {
    return true;
  }
  peer->leaving = peer->leaving || hello.leaving;
  peer->confirmed_roster = hello.seen_roster;
  peer->confirmed_digest = hello.seen_digest;
  this->ApplyRoster(*peer, hello);
  for (const auto& [service, version] : hello.configuration_versions) {
    auto& known = peer->configuration_versions[service];
    known = std::max(known, version);
  }
  for (const EntryInfo& entry : hello.entries) {
    this->AddTarget(entry.address, false, now);
  }
  for (const Succession& succession : hello.successions) {
    this->AddSuccession(succession, succession.departed == hello.entry.incarnation);
  }
  const bool has_lists = !hello.entries.empty() || !hello.successions.empty();
  if (has_lists || hello.digest == kEmptyDigest) {
    peer->digest = hello.digest;
  }
  return peer->roster_number >= hello.roster_number;
}

void PeerTable::ApplyRoster(Peer& peer, const Hello& hello) {
  // A delayed hello must not overwrite a later one. Changes that start after the stored roster
  // number would leave a gap: the agents in it would be missing from the proof of "not run".
  if (hello.roster_number < peer.roster_number || hello.roster_base > peer.roster_number) {
    return;
  }
  if (hello.roster_base == 0) {
    peer.roster = hello.roster;
  }
  for (const RosterItem& item : hello.roster_base == 0 ? std::vector<RosterItem>() : hello.roster) {
    const auto held = std::ranges::find_if(peer.roster, [&item](const RosterItem& known) {
      return known.agent == item.agent && known.first_roster == item.first_roster;
    });
    if (held == peer.roster.end()) {
      peer.roster.push_back(item);
    } else {
      *held = item;
    }
  }
  peer.roster_number = hello.roster_number;
  peer.complete_from = std::max(peer.complete_from, hello.complete_from);
  // The roster is only used for tickets from complete_from on, so these items are not needed.
  std::erase_if(peer.roster, [&peer](const RosterItem& item) {
    return item.end_roster != 0 && item.end_roster <= peer.complete_from;
  });
}

Peer* PeerTable::Find(const Incarnation& entry) {
  const auto found = this->peers.find(entry);
  return found == this->peers.end() ? nullptr : &found->second;
}

const Peer* PeerTable::Find(const Incarnation& entry) const {
  const auto found = this->peers.find(entry);
  return found == this->peers.end() ? nullptr : &found->second;
}

Time::duration PeerTable::RotationPeriod() const {
  const auto answering = std::ranges::count_if(
      this->targets, [](const auto& element) { return element.second.backoff.count() == 0; });
  return this->interval * std::max<std::ptrdiff_t>(1, answering);
}

bool PeerTable::IsAlive(const Incarnation& entry, Time::duration within, Time now) const {
  const Peer* peer = this->Find(entry);
  if (peer == nullptr || peer->gone) {
    return false;
  }
  const Time::duration silent = now - peer->last_heard;
  if (silent < within) {
    return true;
  }
  return silent < this->RotationPeriod() * kMaxSilentRounds &&
         !(peer->suspected_since &&
           now - *peer->suspected_since >= this->interval * kMaxSilentRounds);
}

std::vector<EntryInfo> PeerTable::LivePeers(Time::duration within, Time now) const {
  std::vector<EntryInfo> alive;
  for (const auto& [incarnation, peer] : this->peers) {
    if (this->IsAlive(incarnation, within, now)) {
      alive.push_back(peer.info);
    }
  }
  return alive;
}

void PeerTable::RequestHelloToAll() {
  for (auto& [address, target] : this->targets) {
    target.hello_sent = false;
  }
}

void PeerTable::PrioritizeHello(const std::string& address) {
  const auto found = this->targets.find(address);
  if (found != this->targets.end()) {
    found->second.last_sent = Time{};
  }
}

void PeerTable::Suspect(const Incarnation& entry, Time now) {
  Peer* peer = this->Find(entry);
  if (peer == nullptr || peer->gone || peer->suspected_since) {
    return;
  }
  peer->suspected_since = now;
  const auto found = this->targets.find(peer->info.address);
  if (found != this->targets.end()) {
    found->second.hello_sent = false;
  }
}

bool PeerTable::IsReady(const Target& target, Time now) const {
  return (!target.in_flight || now >= target.in_flight_until) && target.next <= now;
}

std::vector<std::string> PeerTable::TakeDue(Time::duration new_interval, Time now) {
  this->interval = new_interval;
  std::erase_if(this->targets, [now](const auto& element) {
    return !element.second.seed && now - element.second.last_answered >= kTargetExpiry;
  });
  std::vector<std::string> due;
  const std::string* rotated = nullptr;
  Time oldest = Time::max();
  for (const auto& [address, target] : this->targets) {
    if (!this->IsReady(target, now)) {
      continue;
    }
    // Addresses that do not answer are paced by their backoff, which is applied in `next`.
    if (!target.hello_sent || target.backoff.count() != 0) {
      due.push_back(address);
    } else if (target.last_sent < oldest) {
      oldest = target.last_sent;
      rotated = &address;
    }
  }
  if (rotated != nullptr && now >= this->next_rotation) {
    this->next_rotation = now + this->interval;
    due.push_back(*rotated);
  }
  for (const std::string& address : due) {
    Target& target = this->targets.at(address);
    target.in_flight = true;
    target.in_flight_until = now + kReplyTimeout;
    target.last_sent = now;
    target.hello_sent = true;
  }
  return due;
}

const Peer* PeerTable::FindByAddress(const std::string& address) const {
  for (const auto& [incarnation, peer] : this->peers) {
    if (!peer.gone && peer.info.address == address) {
      return &peer;
    }
  }
  return nullptr;
}

void PeerTable::OnHelloResult(const std::string& address, bool answered, Time now) {
  const auto found = this->targets.find(address);
  if (found == this->targets.end()) {
    return;
  }
  Target& target = found->second;
  target.in_flight = false;
  if (answered) {
    target.backoff = Time::duration{0};
    target.next = now;
    target.last_answered = now;
    return;
  }
  target.backoff = std::clamp<Time::duration>(target.backoff * 2, seconds{1}, kMaxBackoff);
  target.next = now + target.backoff;
  if (const Peer* peer = this->FindByAddress(address)) {
    this->Suspect(peer->info.incarnation, now);
  }
}

std::size_t PeerTable::UnreachedSeeds() const {
  return static_cast<std::size_t>(std::ranges::count_if(this->targets, [this](const auto& element) {
    return element.second.seed && this->FindByAddress(element.first) == nullptr;
  }));
}

bool PeerTable::IsHelloRoundComplete(Time::duration within, Time now) const {
  return std::ranges::all_of(this->targets, [&](const auto& element) {
    const Peer* peer = this->FindByAddress(element.first);
    const bool alive = peer != nullptr && this->IsAlive(peer->info.incarnation, within, now);
    return !alive || (element.second.hello_sent && !element.second.in_flight);
  });
}

void PeerTable::AddSuccession(const Succession& succession, bool authoritative) {
  if (succession.departed == this->self.incarnation ||
      succession.departed == succession.successor.incarnation) {
    return;
  }
  const auto [found, added] =
      this->successors.try_emplace(succession.departed, succession.successor);
  if (!added) {
    if (authoritative) {
      found->second = succession.successor;
    }
    return;
  }
  this->succession_order.push_back(succession.departed);
  if (this->succession_order.size() > kMaxSuccessions) {
    this->successors.erase(this->succession_order.front());
    this->succession_order.pop_front();
  }
}

std::optional<EntryInfo> PeerTable::FindSuccessor(const Incarnation& departed) const {
  std::optional<EntryInfo> successor;
  Incarnation current = departed;
  for (int i = 0; i < kMaxSuccessionHops; ++i) {
    const auto found = this->successors.find(current);
    if (found == this->successors.end()) {
      break;
    }
    successor = found->second;
    current = successor->incarnation;
  }
  return successor;
}

std::vector<Succession> PeerTable::Successions() const {
  std::vector<Succession> list;
  for (const auto& [departed, successor] : this->successors) {
    list.push_back({departed, successor});
  }
  return list;
}

PeerTable::RosterView PeerTable::RosterFor(const Ticket& ticket) const {
  RosterView view;
  const Peer* owner = this->Find(ticket.owner);
  if (owner == nullptr) {
    return view;
  }
  for (const RosterItem& item : owner->roster) {
    if (item.service == ticket.service && item.first_roster <= ticket.roster &&
        (item.end_roster == 0 || ticket.roster < item.end_roster)) {
      view.agents.push_back(item);
    }
  }
  view.complete = owner->roster_number != 0 && owner->roster_number >= ticket.roster &&
                  ticket.roster >= owner->complete_from;
  return view;
}

std::map<Incarnation, std::uint64_t> PeerTable::ConfigurationVersions(const std::string& service,
                                                                      Time::duration within,
                                                                      Time now) const {
  std::map<Incarnation, std::uint64_t> versions;
  for (const auto& [incarnation, peer] : this->peers) {
    const auto found = peer.configuration_versions.find(service);
    if (found != peer.configuration_versions.end() && this->IsAlive(incarnation, within, now)) {
      versions[incarnation] = found->second;
    }
  }
  return versions;
}

}  // namespace quetzalvale
