#include "entry/core_thread.h"

#include <utility>

namespace quetzalvale {
namespace {

constexpr std::size_t kRingCapacity = 32768;
constexpr std::chrono::milliseconds kTickPeriod{10};

}  // namespace

CoreThread::CoreThread(EntryCore core, const Clock& clock, Runner run)
    : core(std::move(core)),
      clock(clock),
      run(std::move(run)),
      loop(
          kRingCapacity, kTickPeriod, [this](const Item& item) { this->Handle(item); },
          [this] { this->HandleEvent(this->clock.Now(), Tick{}); }) {}

CoreThread::~CoreThread() { this->Stop(); }

void CoreThread::Start() { this->loop.Start(); }

void CoreThread::Stop() { this->loop.Stop(); }

bool CoreThread::PostRequest(EntryEvent event) {
  return this->loop.PostRequest({this->clock.Now(), std::move(event)});
}

void CoreThread::PostResult(EntryEvent event) {
  this->loop.PostResult({this->clock.Now(), std::move(event)});
}

bool CoreThread::PostStatusRequest(StatusReceiver receive) {
  return this->loop.Post({this->clock.Now(), std::move(receive)});
}

void CoreThread::Handle(const Item& item) {
  this->lag.Note(item.posted, this->clock.Now());
  if (const auto* event = std::get_if<EntryEvent>(&item.content)) {
    this->HandleEvent(item.posted, *event);
  } else {
    std::get<StatusReceiver>(item.content)(this->core.Status(this->clock.Now()));
  }
}

void CoreThread::HandleEvent(Time posted, const EntryEvent& event) {
  this->run(posted, event, this->core.Handle(this->clock.Now(), event));
}

}  // namespace quetzalvale
