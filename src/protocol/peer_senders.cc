#include "protocol/peer_senders.h"

#include <atomic>
#include <thread>
#include <utility>
#include <vector>

#include "protocol/rpc_client.h"
#include "runtime/ring.h"

namespace quetzalvale {
namespace {

struct Call {
  std::string method;
  Json::Value parameters;
  PeerSenders::Done done;
};

Result<Json::Value> ToResult(const std::string& address, RpcReply reply) {
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

class PeerSenders::Peer {
 public:
  Peer(std::string address, const std::string& key, std::size_t capacity,
       std::chrono::milliseconds timeout)
      : address(std::move(address)),
        timeout(timeout),
        client(this->address, key),
        ring(capacity),
        last_use(std::chrono::steady_clock::now()) {
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Peer() { this->Stop(); }

  bool TryPush(Call& call) {
    this->last_use = std::chrono::steady_clock::now();
    return this->ring.TryPush(call);
  }

  void Stop() {
    this->ring.Close();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  bool IdleSince(std::chrono::steady_clock::time_point time) const {
    return this->last_use.load() < time && this->ring.Size() == 0 && !this->busy;
  }

  std::uint64_t SentCalls() const { return this->sent; }

 private:
  void Run() {
    while (auto call = this->ring.Pop()) {
      this->busy = true;
      ++this->sent;
      RpcReply reply = this->client.Call(call->method, call->parameters,
                                         static_cast<int>(this->timeout.count()));
      call->done(ToResult(this->address, std::move(reply)));
      this->busy = false;
    }
  }

  std::string address;
  std::chrono::milliseconds timeout;
  RpcClient client;
  Ring<Call> ring;
  std::atomic<std::chrono::steady_clock::time_point> last_use;
  std::atomic<std::uint64_t> sent{0};
  std::atomic<bool> busy{false};
  std::thread thread;
};

PeerSenders::PeerSenders(std::string shared_key, std::size_t capacity,
                         std::chrono::milliseconds timeout)
    : shared_key(std::move(shared_key)), capacity(capacity), timeout(timeout) {}

PeerSenders::~PeerSenders() { this->Stop(); }

void PeerSenders::Send(const std::string& address, std::string method, Json::Value parameters,
                       Done done) {
  Call call{std::move(method), std::move(parameters), std::move(done)};
  {
    const std::lock_guard lock(this->mutex);
    if (!this->stopped) {
      auto& peer = this->peers[address];
      if (!peer) {
        peer = std::make_shared<Peer>(address, this->shared_key, this->capacity, this->timeout);
      }
      if (peer->TryPush(call)) {
        return;
      }
    }
  }
  call.done(Error{ErrorKind::kUnreachable, "too many calls wait for " + address});
}

void PeerSenders::DropIdle(std::chrono::steady_clock::duration idle) {
  const auto oldest = std::chrono::steady_clock::now() - idle;
  std::vector<std::shared_ptr<Peer>> dropped;
  const std::lock_guard lock(this->mutex);
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    if (it->second->IdleSince(oldest)) {
      this->calls_of_dropped_peers += it->second->SentCalls();
      dropped.push_back(std::move(it->second));
      it = this->peers.erase(it);
    } else {
      ++it;
    }
  }
}

void PeerSenders::Stop() {
  std::map<std::string, std::shared_ptr<Peer>> stopping;
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    stopping = this->peers;
  }
  for (auto& [address, peer] : stopping) {
    peer->Stop();
  }
}

std::uint64_t PeerSenders::SentCalls() const {
  const std::lock_guard lock(this->mutex);
  std::uint64_t total = this->calls_of_dropped_peers;
  for (const auto& [address, peer] : this->peers) {
    total += peer->SentCalls();
  }
  return total;
}

}  // namespace quetzalvale
