/// Outgoing inner calls: one thread and one connection per peer.
#pragma once

#include <json/value.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/result.h"

namespace quetzalvale {

/// Sends calls to peers by address. Each peer has its own thread and bounded ring, so that a frozen
/// peer delays no other. Calls to one peer are sent in order. Thread-safe.
class PeerSenders {
 public:
  /// Receives the result, or kUnreachable (the call was not sent) or kTimeout (the peer may have
  /// it).
  using Done = std::function<void(Result<Json::Value>)>;

  /// `capacity` is the number of calls that may wait for one peer.
  PeerSenders(std::string shared_key, std::size_t capacity, std::chrono::milliseconds timeout);
  ~PeerSenders();
  PeerSenders(const PeerSenders&) = delete;
  PeerSenders& operator=(const PeerSenders&) = delete;

  /// Queues the call. `done` runs on the peer's thread, or on this one with kUnreachable when the
  /// peer's ring is full.
  void Send(const std::string& address, std::string method, Json::Value parameters, Done done);

  /// Ends the threads of peers that have had nothing to send for this long.
  void DropIdle(std::chrono::steady_clock::duration idle);

  /// Sends what is queued, then ends all threads.
  void Stop();

  /// Number of calls sent so far, for the message count.
  std::uint64_t SentCalls() const;

 private:
  class Peer;

  std::string shared_key;
  std::size_t capacity;
  std::chrono::milliseconds timeout;
  mutable std::mutex mutex;
  std::map<std::string, std::shared_ptr<Peer>> peers;
  std::uint64_t calls_of_dropped_peers = 0;
  bool stopped = false;
};

}  // namespace quetzalvale
