#include "entry/job_relay.h"

#include <utility>

#include "entry/relay_headers.h"
#include "runtime/entropy.h"

namespace quetzalvale {
namespace {

/// Requests at once to one peer. Above what an entry hands on in the time of a long job.
constexpr std::size_t kConnections = 256;

/// How long a peer's response with its clock is waited for, before it is asked again.
constexpr Milliseconds kClockRequestTimeout{500};

}  // namespace

JobRelay::JobRelay(double cores, const Clock& clock)
    : clock(clock), random(DrawSeed()), shedding(cores) {}

void JobRelay::SetPeers(std::vector<OffloadPolicy::Peer> peers) {
  const std::lock_guard lock(this->mutex);
  this->shedding.SetPeers(std::move(peers));
}

std::optional<std::string> JobRelay::Choose(Time::duration lag) {
  const std::lock_guard lock(this->mutex);
  const Time now = this->clock.Now();
  this->shedding.NoteLag(lag, now);
  return this->shedding.Choose(now, this->random);
}

std::optional<Time> JobRelay::PeerTime(const std::string& peer) {
  const std::lock_guard lock(this->mutex);
  const auto time = this->clocks.Estimate(peer, this->clock.Now());
  if (!time) {
    this->AskForClock(peer);
  }
  return time;
}

void JobRelay::AskForClock(const std::string& peer) {
  const Time now = this->clock.Now();
  Time& next = this->next_clock_request[peer];
  if (now < next) {
    return;
  }
  next = now + kClockRequestTimeout;
  OutgoingRequest request{"GET", "/", ""};
  request.headers[kRelayedHeader] = "1";
  this->SessionOf(peer).Send(
      std::move(request), kClockRequestTimeout,
      [this, peer](const HttpResult& result) { this->RecordClock(peer, result); });
}

void JobRelay::RecordClock(const std::string& peer, const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) {
    return;
  }
  const auto header = response->headers.find(kPeerClockHeader);
  const auto peer_time =
      header == response->headers.end() ? std::nullopt : ParseHeaderTime(header->second);
  if (peer_time) {
    const std::lock_guard lock(this->mutex);
    this->clocks.Record(peer, *peer_time, this->clock.Now());
  }
}

HttpSession& JobRelay::SessionOf(const std::string& peer) {
  auto& session = this->sessions[peer];
  if (!session) {
    session = std::make_unique<HttpSession>(this->loop, peer, kConnections);
  }
  return *session;
}

void JobRelay::Send(const std::string& peer, std::uint64_t exchange, OutgoingRequest request,
                    std::chrono::milliseconds timeout, Done done) {
  // Held while sending, so that the result finds the call.
  const std::lock_guard lock(this->mutex);
  HttpSession& session = this->SessionOf(peer);
  const std::uint64_t number =
      session.Send(std::move(request), timeout,
                   [this, peer, exchange, done = std::move(done)](HttpResult result) {
                     this->RecordClock(peer, result);
                     if (this->TakeCall(exchange)) {
                       done(std::move(result));
                     }
                   });
  this->calls[exchange] = {&session, number};
}

bool JobRelay::TakeCall(std::uint64_t exchange) {
  const std::lock_guard lock(this->mutex);
  return this->calls.erase(exchange) > 0;
}

bool JobRelay::Abandon(std::uint64_t exchange) {
  const std::lock_guard lock(this->mutex);
  const auto node = this->calls.extract(exchange);
  if (node.empty()) {
    return false;
  }
  node.mapped().session->Cancel(node.mapped().number);
  return true;
}

void JobRelay::NoteResult(const std::string& peer, PeerResult result) {
  const std::lock_guard lock(this->mutex);
  switch (result) {
    case PeerResult::kServed:
      this->shedding.NoteServed(peer);
      break;
    case PeerResult::kRefused:
      this->shedding.NoteRefusal(peer, this->clock.Now());
      break;
    case PeerResult::kNoResponse:
      this->shedding.NoteFailure(peer, this->clock.Now());
      break;
  }
}

}  // namespace quetzalvale
