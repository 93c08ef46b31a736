#include "protocol/peer_senders.h"

#include <utility>

#include "protocol/rpc_client.h"

namespace quetzalvale {
namespace {

template <typename Value>
Result<Value> ToResult(const std::string& address, RpcReplyOf<Value> reply) {
  switch (reply.outcome) {
    case RpcOutcome::kOk:
      return std::move(reply.result);
    case RpcOutcome::kUnreachable:
      return Error{ErrorKind::kUnreachable, "no connection to " + address + ": " + reply.message};
    case RpcOutcome::kRefused:
      return Error{ErrorKind::kMalformed, address + " refused the call: " + reply.message};
    case RpcOutcome::kUnknown:
      break;
  }
  return Error{ErrorKind::kTimeout, "no reply from " + address + ": " + reply.message};
}

}  // namespace

struct PeerSenders::Peer {
  Peer(HttpLoop& loop, const std::string& address, const std::string& key)
      : client(loop, address, key) {}

  RpcClient client;
  /// Calls that have not ended.
  std::size_t under_way = 0;
  std::uint64_t sent = 0;
  std::chrono::steady_clock::time_point last_use;
};

PeerSenders::PeerSenders(std::string shared_key, std::size_t capacity,
                         std::chrono::milliseconds timeout)
    : shared_key(std::move(shared_key)), capacity(capacity), timeout(timeout) {}

PeerSenders::~PeerSenders() { this->Stop(); }

std::shared_ptr<PeerSenders::Peer> PeerSenders::Admit(const std::string& address) {
  if (this->stopped) {
    return nullptr;
  }
  auto& peer = this->peers[address];
  if (!peer) {
    peer = std::make_shared<Peer>(this->loop, address, this->shared_key);
  }
  if (peer->under_way >= this->capacity) {
    return nullptr;
  }
  ++peer->under_way;
  ++peer->sent;
  ++this->under_way;
  peer->last_use = std::chrono::steady_clock::now();
  return peer;
}

void PeerSenders::Ended(Peer& peer) {
  const std::lock_guard lock(this->mutex);
  --peer.under_way;
  --this->under_way;
  this->idle.notify_all();
}

template <typename Reply, typename PeerDone, typename SendNow>
void PeerSenders::SendTo(const std::string& address, PeerDone done, SendNow send) {
  std::shared_ptr<Peer> peer;
  {
    const std::lock_guard lock(this->mutex);
    peer = this->Admit(address);
  }
  if (!peer) {
    done(Error{ErrorKind::kUnreachable, "too many calls wait for " + address});
    return;
  }
  send(peer->client, [this, address, peer, done = std::move(done)](Reply reply) {
    done(ToResult(address, std::move(reply)));
    this->Ended(*peer);
  });
}

void PeerSenders::Send(const std::string& address, const std::string& method,
                       Json::Value parameters, Done done) {
  this->SendTo<RpcReply>(address, std::move(done), [&](RpcClient& client, RpcClient::Done ended) {
    client.Send(method, std::move(parameters), this->timeout, std::move(ended));
  });
}

void PeerSenders::SendPacked(const std::string& address, const std::string& method,
                             PackedMessage message, PackedDone done) {
  this->SendTo<PackedReply>(
      address, std::move(done), [&](RpcClient& client, RpcClient::PackedDone ended) {
        client.SendPacked(method, std::move(message), this->timeout, std::move(ended));
      });
}

void PeerSenders::DropIdle(std::chrono::steady_clock::duration idle_time) {
  const auto oldest = std::chrono::steady_clock::now() - idle_time;
  const std::lock_guard lock(this->mutex);
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const Peer& peer = *it->second;
    if (peer.under_way == 0 && peer.last_use < oldest) {
      this->calls_of_dropped_peers += peer.sent;
      it = this->peers.erase(it);
    } else {
      ++it;
    }
  }
}

void PeerSenders::Stop() {
  {
    std::unique_lock lock(this->mutex);
    this->stopped = true;
    this->idle.wait(lock, [this] { return this->under_way == 0; });
  }
  this->loop.Stop();
}

std::uint64_t PeerSenders::SentCalls() const {
  const std::lock_guard lock(this->mutex);
  std::uint64_t total = this->calls_of_dropped_peers;
  for (const auto& [address, peer] : this->peers) {
    total += peer->sent;
  }
  return total;
}

}  // namespace quetzalvale
