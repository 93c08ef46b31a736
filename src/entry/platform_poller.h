/// Keeps an entry's configuration up to date.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/entry/entry_status.h"
#include "entry/configuration_book.h"
#include "protocol/peer_senders.h"
#include "store/configuration_store.h"
#include "store/entry_registry.h"

namespace quetzalvale {

/// One thread that reads the configuration rows each second keeps this entry's address row and,
/// less often, reads those of the other entries.
/// While the platform is out, it asks peers for the documents that they report newer versions of.
class PlatformPoller {
 public:
  struct Parts {
    ConfigurationBook& book;
    ConfigurationStore& store;
    EntryRegistry& registry;
    PeerSenders& senders;
    /// Returns the entry's status, or nothing when it is overloaded.
    std::function<std::optional<EntryStatus>()> status;
    /// Takes the entries that the platform's table names.
    std::function<void(std::vector<EntryInfo>)> entries_read;
    /// Inner addresses of entries to ask while no peer is known.
    std::vector<std::string> seed_addresses;
  };

  /// The parts must outlive the poller.
  explicit PlatformPoller(Parts parts);
  ~PlatformPoller();
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

  void Start();
  /// May be called twice.
  void Stop();

 private:
  void Run();
  /// Returns whether the platform answered.
  bool PollService(const std::string& service);
  /// Asks peers for the document if one may have a newer version.
  void AskPeers(const std::string& service);
  std::vector<std::string> PeerAddresses(const std::optional<EntryStatus>& status) const;
  void NotePlatform(bool reachable);
  /// Reads the table of entries again when it is time.
  void ReadEntriesIfDue();

  Parts parts;
  std::mutex mutex;
  std::condition_variable stop_requested;
  bool stopped = false;
  bool registered = false;
  bool platform_reachable = true;
  std::chrono::steady_clock::time_point next_entries_read;
  std::thread thread;
};

}  // namespace quetzalvale
