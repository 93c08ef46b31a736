#include "core/peer_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace quetzalvale {
namespace {

using std::chrono::seconds;

/// Live entries and those gone since about a day at the largest deployment.
constexpr std::size_t kMaxPeers = 256;
constexpr std::size_t kMaxTargets = 256;
constexpr std::size_t kMaxSuccessions = 512;

/// A roster that was confirmed is still repeated this often, in case the peer has forgotten it.
constexpr seconds kRosterRepeat{30};

/// Addresses that never answer are asked this seldom, and forgotten after the longer time.
constexpr seconds kLongestBackoff{10};
constexpr seconds kTargetForgotten{3600};

/// The result of a call always arrives; this only guards against a program that loses one.
constexpr seconds kReplyLimit{30};

/// Successions longer than this are not followed.
constexpr int kLongestChain = 16;

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

void PeerTable::MakeRoom() {
  if (this->peers.size() < kMaxPeers) {
    return;
  }
  const auto oldest = std::ranges::min_element(
      this->peers, {}, [](const auto& element) { return element.second.last_heard; });
  this->peers.erase(oldest);
}

Peer* PeerTable::Hear(const EntryInfo& entry, Time now) {
  // A delayed message of the process that had this entry's address before: calls to it would come
  // back here.
  if (entry.address == this->self.address || entry.incarnation.IsNil()) {
    return nullptr;
  }
  auto found = this->peers.find(entry.incarnation);
  if (found != this->peers.end() && found->second.gone) {
    return nullptr;
  }
  if (found == this->peers.end()) {
    this->MakeRoom();
    found = this->peers.emplace(entry.incarnation, Peer{}).first;
    found->second.info = entry;
    this->MarkOthersGone(entry);
    this->AddTarget(entry.address, false, now);
  }
  found->second.last_heard = now;
  return &found->second;
}

Peer* PeerTable::HearReply(const EntryInfo& entry, Time now) {
  if (Peer* known = this->Find(entry.incarnation)) {
    known->gone = false;
  }
  Peer* peer = this->Hear(entry, now);
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

void PeerTable::Read(const Hello& hello, Time now) {
  Peer* peer = this->Find(hello.entry.incarnation);
  if (peer == nullptr || peer->gone) {
    return;
  }
  peer->leaving = peer->leaving || hello.leaving;
  // A delayed hello must not take back what a later one said.
  if (hello.roster_number != 0 && hello.roster_number >= peer->roster_number) {
    peer->roster = hello.roster;
    peer->roster_number = hello.roster_number;
    peer->complete_from = std::max(peer->complete_from, hello.complete_from);
  }
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
}

Peer* PeerTable::Find(const Incarnation& entry) {
  const auto found = this->peers.find(entry);
  return found == this->peers.end() ? nullptr : &found->second;
}

const Peer* PeerTable::Find(const Incarnation& entry) const {
  const auto found = this->peers.find(entry);
  return found == this->peers.end() ? nullptr : &found->second;
}

bool PeerTable::IsAlive(const Incarnation& entry, Time::duration within, Time now) const {
  const Peer* peer = this->Find(entry);
  return peer != nullptr && !peer->gone && now - peer->last_heard < within;
}

std::vector<EntryInfo> PeerTable::Alive(Time::duration within, Time now) const {
  std::vector<EntryInfo> alive;
  for (const auto& [incarnation, peer] : this->peers) {
    if (!peer.gone && now - peer.last_heard < within) {
      alive.push_back(peer.info);
    }
  }
  return alive;
}

void PeerTable::HelloSoon(Time now) {
  for (auto& [address, target] : this->targets) {
    target.told = false;
    // Addresses that do not answer keep their pace.
    if (target.backoff.count() == 0) {
      target.next = std::min(target.next, now);
    }
  }
}

std::vector<std::string> PeerTable::TakeDue(Time::duration interval, Time now) {
  std::vector<std::string> due;
  for (auto current = this->targets.begin(); current != this->targets.end();) {
    Target& target = current->second;
    if (!target.seed && now - target.last_answered >= kTargetForgotten) {
      current = this->targets.erase(current);
      continue;
    }
    if (target.next <= now && (!target.in_flight || now >= target.in_flight_until)) {
      target.in_flight = true;
      target.in_flight_until = now + kReplyLimit;
      target.next = now + interval;
      target.told = true;
      due.push_back(current->first);
    }
    ++current;
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

bool PeerTable::NeedsRoster(const std::string& address, std::uint64_t number, Time now) const {
  const Peer* peer = this->FindByAddress(address);
  return peer == nullptr || peer->confirmed_roster != number ||
         now - peer->roster_sent >= kRosterRepeat;
}

void PeerTable::HelloSent(const std::string& address, std::uint64_t roster_number, Time now) {
  const auto found = this->targets.find(address);
  if (found == this->targets.end()) {
    return;
  }
  found->second.sent_roster = roster_number;
  if (const Peer* peer = this->FindByAddress(address); peer != nullptr && roster_number != 0) {
    this->Find(peer->info.incarnation)->roster_sent = now;
  }
}

void PeerTable::HelloDone(const std::string& address, const Incarnation* entry, Time now) {
  const auto found = this->targets.find(address);
  if (found == this->targets.end()) {
    return;
  }
  Target& target = found->second;
  target.in_flight = false;
  if (entry == nullptr) {
    target.backoff = std::clamp<Time::duration>(target.backoff * 2, seconds{1}, kLongestBackoff);
    target.next = now + target.backoff;
    return;
  }
  target.backoff = Time::duration{0};
  target.last_answered = now;
  if (!target.told) {
    target.next = now;
  }
  Peer* peer = this->Find(*entry);
  if (peer != nullptr && target.sent_roster != 0) {
    peer->confirmed_roster = target.sent_roster;
  }
}

std::size_t PeerTable::UnheardSeeds() const {
  return static_cast<std::size_t>(std::ranges::count_if(this->targets, [this](const auto& element) {
    return element.second.seed && this->FindByAddress(element.first) == nullptr;
  }));
}

bool PeerTable::AllTold(Time::duration within, Time now) const {
  return std::ranges::all_of(this->targets, [&](const auto& element) {
    const Peer* peer = this->FindByAddress(element.first);
    const bool alive = peer != nullptr && now - peer->last_heard < within;
    return !alive || (element.second.told && !element.second.in_flight);
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
  for (int i = 0; i < kLongestChain; ++i) {
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

std::map<Incarnation, std::uint64_t> PeerTable::Versions(const std::string& service,
                                                         Time::duration within, Time now) const {
  std::map<Incarnation, std::uint64_t> versions;
  for (const auto& [incarnation, peer] : this->peers) {
    const auto found = peer.configuration_versions.find(service);
    if (found != peer.configuration_versions.end() && !peer.gone &&
        now - peer.last_heard < within) {
      versions[incarnation] = found->second;
    }
  }
  return versions;
}

}  // namespace quetzalvale
