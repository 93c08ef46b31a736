/// Outgoing inner calls: one connection per peer.
#pragma once

#include <json/value.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>

#include "core/result.h"
#include "http/http_loop.h"
#include "protocol/packed_codec.h"

namespace quetzalvale {

/// Sends calls to peers by address, all on one thread. Each peer has its own connection and a bound
/// on its waiting calls, so that a frozen peer delays no other. Calls to one peer are sent in
/// order. Thread-safe.
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

  /// Queues the call. `done` runs on the thread of the connections, or on this one with
  /// kUnreachable when too many calls wait for the peer; it must not block for long.
  void Send(const std::string& address, const std::string& method, Json::Value parameters,
            Done done);

  /// As above, for a call whose parameters and result are messages. `done` takes a Result<Reply>;
  /// a malformed reply is the error kMalformed.
  template <typename Reply, typename Message, typename TypedDone>
  void SendMessage(const std::string& address, const std::string& method, const Message& message,
                   TypedDone done) {
    this->SendPacked(address, method, Pack(message),
                     [done = std::move(done)](const Result<PackedMessage>& reply) {
                       done(UnpackReply<Reply>(reply));
                     });
  }

  /// Closes the connections to peers that have had nothing to send for this long.
  void DropIdle(std::chrono::steady_clock::duration idle_time);

  /// Waits for the end of all calls, then closes the connections. Calls sent afterwards end with
  /// kUnreachable. May be called twice.
  void Stop();

  /// Number of calls sent so far, for the message count.
  std::uint64_t SentCalls() const;

 private:
  struct Peer;
  using PackedDone = std::function<void(Result<PackedMessage>)>;

  template <typename Reply>
  static Result<Reply> UnpackReply(const Result<PackedMessage>& reply) {
    if (!IsOk(reply)) {
      return GetError(reply);
    }
    try {
      return Unpack<Reply>(std::get<PackedMessage>(reply).bytes);
    } catch (const std::invalid_argument& malformed) {
      return Error{ErrorKind::kMalformed, malformed.what()};
    }
  }

  void SendPacked(const std::string& address, const std::string& method, PackedMessage message,
                  PackedDone done);

  /// Calls `send` with the peer and the function that its reply goes to, or gives `done` the error
  /// that no more calls may wait for the peer.
  template <typename Reply, typename PeerDone, typename SendNow>
  void SendTo(const std::string& address, PeerDone done, SendNow send);

  /// Returns the peer when the call may be sent to it. Precondition: the mutex is held.
  std::shared_ptr<Peer> Admit(const std::string& address);
  void Ended(Peer& peer);

  std::string shared_key;
  std::size_t capacity;
  std::chrono::milliseconds timeout;
  HttpLoop loop;
  mutable std::mutex mutex;
  std::condition_variable idle;
  /// Calls to all peers that have not ended.
  std::size_t under_way = 0;
  std::map<std::string, std::shared_ptr<Peer>> peers;
  std::uint64_t calls_of_dropped_peers = 0;
  bool stopped = false;
};

}  // namespace quetzalvale
