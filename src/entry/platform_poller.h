/// Keeps an entry's configuration up to date.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "entry/configuration_book.h"
#include "platform/configuration_store.h"
#include "platform/entry_registry.h"
#include "protocol/peer_senders.h"

namespace quetzalvale {

/// One thread that reads the configuration rows each second and keeps this entry's address row.
/// While the platform is out, it asks peers for newer documents.
class PlatformPoller {
 public:
  struct Parts {
    ConfigurationBook& book;
    ConfigurationStore& store;
    EntryRegistry& registry;
    PeerSenders& senders;
    /// Returns the inner addresses of other entries.
    std::function<std::vector<std::string>()> peers;
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
  void AskPeers(const std::string& service);
  void NotePlatform(bool reachable);

  Parts parts;
  std::mutex mutex;
  std::condition_variable stop_requested;
  bool stopped = false;
  bool registered = false;
  bool platform_reachable = true;
  std::thread thread;
};

}  // namespace quetzalvale
