#include "entry/platform_poller.h"

#include <algorithm>
#include <utility>

#include "runtime/log.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{1000};
/// An entry that the hellos do not lead to is found within this time. 16 entries read the table
/// about once a second together.
constexpr std::chrono::seconds kEntriesPeriod{15};
/// Peers' sender threads with nothing to send are kept this long.
constexpr std::chrono::seconds kIdleSender{120};

/// Returns the highest version of the service's configuration that a peer reports.
std::uint64_t PeerVersion(const EntryStatus& status, const std::string& service) {
  std::uint64_t highest = 0;
  for (const auto& candidate : status.services) {
    if (candidate.service != service) {
      continue;
    }
    for (const auto& [peer, version] : candidate.peer_versions) {
      highest = std::max(highest, version);
    }
  }
  return highest;
}

}  // namespace

PlatformPoller::PlatformPoller(Parts parts) : parts(std::move(parts)) {}

PlatformPoller::~PlatformPoller() { this->Stop(); }

void PlatformPoller::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void PlatformPoller::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->stop_requested.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void PlatformPoller::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    lock.unlock();
    if (!this->registered) {
      this->registered = this->parts.registry.Add();
    }
    bool reachable = true;
    for (const auto& service : this->parts.book.Services()) {
      const bool answered = this->PollService(service);
      reachable = reachable && answered;
    }
    this->NotePlatform(reachable);
    if (reachable) {
      this->ReadEntriesIfDue();
    }
    this->parts.senders.DropIdle(kIdleSender);
    lock.lock();
    this->stop_requested.wait_for(lock, kPollPeriod, [this] { return this->stopped; });
  }
}

bool PlatformPoller::PollService(const std::string& service) {
  const auto stored = this->parts.store.Read(service);
  if (!IsOk(stored)) {
    this->AskPeers(service);
    return false;
  }
  if (const auto& found = std::get<std::optional<StoredDocument>>(stored)) {
    this->parts.book.Offer(service, *found, "table configuration, row " + service);
  }
  return true;
}

void PlatformPoller::AskPeers(const std::string& service) {
  const auto known = this->parts.book.Document(service);
  const auto status = this->parts.status();
  if (known && !(status && PeerVersion(*status, service) > known->version)) {
    return;
  }
  Json::Value parameters;
  parameters["service"] = service;
  for (const auto& peer : this->PeerAddresses(status)) {
    this->parts.senders.Send(
        peer, "configuration", parameters, [this, service, peer](const Result<Json::Value>& reply) {
          const auto* json = std::get_if<Json::Value>(&reply);
          if (json != nullptr && json->isObject() && (*json)["version"].isUInt64()) {
            this->parts.book.Offer(service, {(*json)["version"].asUInt64(), (*json)["document"]},
                                   "entry " + peer);
          }
        });
  }
}

std::vector<std::string> PlatformPoller::PeerAddresses(
    const std::optional<EntryStatus>& status) const {
  if (!status || status->peers.empty()) {
    return this->parts.seed_addresses;
  }
  std::vector<std::string> addresses;
  for (const auto& peer : status->peers) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

void PlatformPoller::ReadEntriesIfDue() {
  const auto now = std::chrono::steady_clock::now();
  if (now < this->next_entries_read) {
    return;
  }
  auto others = this->parts.registry.Others();
  if (auto* entries = std::get_if<std::vector<EntryInfo>>(&others)) {
    this->next_entries_read = now + kEntriesPeriod;
    this->parts.entries_read(std::move(*entries));
  }
}

void PlatformPoller::NotePlatform(bool reachable) {
  if (reachable != this->platform_reachable) {
    this->platform_reachable = reachable;
    Log(reachable ? LogLevel::kInfo : LogLevel::kWarning, reachable ? 3031 : 3030,
        reachable ? "platform_back" : "platform_out", "");
  }
}

}  // namespace quetzalvale
