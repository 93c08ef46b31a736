#include "entry/core_thread.h"

#include <thread>
#include <utility>

namespace quetzalvale {
namespace {

constexpr std::size_t kRingCapacity = 32768;
/// Requests from outside leave the rest of the ring to results.
constexpr std::size_t kRequestCapacity = kRingCapacity / 2;
constexpr std::chrono::milliseconds kTickPeriod{10};
constexpr std::chrono::milliseconds kPauseWhenFull{1};

}  // namespace

CoreThread::CoreThread(EntryCore core, const Clock& clock, Runner run)
    : core(std::move(core)),
      clock(clock),
      run(std::move(run)),
      loop(
          kRingCapacity, kTickPeriod, [this](const Item& item) { this->Handle(item); },
          [this] { this->Tick(); }) {}

CoreThread::~CoreThread() { this->Stop(); }

void CoreThread::Start() { this->loop.Start(); }

void CoreThread::Stop() {
  this->stopping = true;
  this->loop.Stop();
}

bool CoreThread::PostRequest(EntryEvent event) {
  if (this->loop.Backlog() >= kRequestCapacity) {
    return false;
  }
  return this->loop.Post({this->clock.Now(), std::move(event)});
}

void CoreThread::PostResult(EntryEvent event) {
  Item item{this->clock.Now(), std::move(event)};
  if (this->IsCoreThread()) {
    this->deferred.push_back(std::move(item));
    return;
  }
  while (!this->loop.Post(item)) {
    if (this->stopping) {
      return;
    }
    std::this_thread::sleep_for(kPauseWhenFull);
  }
}

bool CoreThread::PostStatusRequest(StatusReceiver receive) {
  return this->loop.Post({this->clock.Now(), std::move(receive)});
}

bool CoreThread::IsCoreThread() const {
  return this->core_thread.load() == std::this_thread::get_id();
}

void CoreThread::Handle(const Item& item) {
  this->core_thread = std::this_thread::get_id();
  if (const auto* event = std::get_if<EntryEvent>(&item.content)) {
    this->HandleEvent(item.posted, *event);
  } else {
    std::get<StatusReceiver>(item.content)(this->core.Status(this->clock.Now()));
  }
  this->HandleDeferred();
}

void CoreThread::HandleEvent(Time posted, const EntryEvent& event) {
  this->run(posted, event, this->core.Handle(this->clock.Now(), event));
}

void CoreThread::HandleDeferred() {
  while (!this->deferred.empty()) {
    for (const auto& item : std::exchange(this->deferred, {})) {
      this->HandleEvent(item.posted, std::get<EntryEvent>(item.content));
    }
  }
}

void CoreThread::Tick() {
  this->core_thread = std::this_thread::get_id();
  this->HandleEvent(this->clock.Now(), quetzalvale::Tick{});
  this->HandleDeferred();
}

}  // namespace quetzalvale
