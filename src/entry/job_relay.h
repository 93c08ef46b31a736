/// Hands callers' requests on to other entries.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/policy/offload_policy.h"
#include "entry/peer_clocks.h"
#include "http/http_loop.h"
#include "http/http_session.h"
#include "runtime/clock.h"

namespace quetzalvale {

/// Sends part of the requests, as OffloadPolicy decides, to other entries. The peer answers each as
/// if the caller had sent it there. When a caller closes its connection, that of its request to the
/// peer is closed too. Thread-safe.
class JobRelay {
 public:
  using Done = std::function<void(HttpResult)>;

  /// `cores` is the processor share of this entry's machine; `clock` must outlive the object.
  JobRelay(double cores, const Clock& clock);

  void SetPeers(std::vector<OffloadPolicy::Peer> peers);

  /// Returns the peer that should get the next request, or nothing when it stays here. `lag` is the
  /// longest time that an event waited here lately.
  std::optional<std::string> Choose(Time::duration lag);

  /// Returns the peer's clock now, as its last response told, and never ahead of it. Without a
  /// response yet, asks the peer for its clock and returns nothing.
  std::optional<Time> PeerTime(const std::string& peer);

  /// Sends the request. `done` runs on the relay's thread, at most once: not after Abandon.
  void Send(const std::string& peer, std::uint64_t exchange, OutgoingRequest request,
            std::chrono::milliseconds timeout, Done done);

  /// The caller of the exchange is gone. Returns whether its request was with a peer.
  bool Abandon(std::uint64_t exchange);

  /// What became of a request at the peer, which decides about the next ones.
  enum class PeerResult { kServed, kRefused, kNoResponse };
  void NoteResult(const std::string& peer, PeerResult result);

  /// Drops what is under way. Call before what the results need is destroyed.
  void Stop() { this->loop.Stop(); }

 private:
  struct Call {
    HttpSession* session = nullptr;
    std::uint64_t number = 0;
  };

  HttpSession& SessionOf(const std::string& peer);
  void AskForClock(const std::string& peer);
  /// Records the clock that came with a response.
  void RecordClock(const std::string& peer, const HttpResult& result);
  bool TakeCall(std::uint64_t exchange);

  const Clock& clock;
  HttpLoop loop;
  std::mutex mutex;
  Random random;
  OffloadPolicy shedding;
  /// Kept for good: peers are few.
  std::map<std::string, std::unique_ptr<HttpSession>> sessions;
  std::map<std::uint64_t, Call> calls;
  PeerClocks clocks;
  /// When each peer may be asked for its clock again.
  std::map<std::string, Time> next_clock_request;
};

}  // namespace quetzalvale
