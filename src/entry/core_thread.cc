#include "entry/core_thread.h"

#include <utility>

namespace quetzalvale {
namespace {

constexpr std::size_t kRingCapacity = 32768;
constexpr std::chrono::milliseconds kTickPeriod{10};

/// Memory of what a caller has handed in, without that of the request, which its connection counts.
std::size_t MemoryOf(const EntryEvent& event) {
  const auto* submitted = std::get_if<JobSubmitted>(&event);
  if (submitted == nullptr) {
    return 0;
  }
  const Submission& submission = submitted->submission;
  std::size_t bytes = sizeof(JobSubmitted) + submission.payload_tail.capacity();
  for (const TaskSpec& task : submission.tasks) {
    bytes += sizeof(TaskSpec) + task.payload.capacity();
  }
  return bytes;
}

}  // namespace

CoreThread::CoreThread(EntryCore core, const Clock& clock, Runner run,
                       std::size_t max_waiting_bytes)
    : core(std::move(core)),
      clock(clock),
      run(std::move(run)),
      max_waiting_bytes(max_waiting_bytes),
      loop(
          kRingCapacity, kTickPeriod, [this](const Item& item) { this->Handle(item); },
          [this] { this->HandleEvent(this->clock.Now(), Tick{}); }) {}

CoreThread::~CoreThread() { this->Stop(); }

void CoreThread::Start() { this->loop.Start(); }

void CoreThread::Stop() { this->loop.Stop(); }

bool CoreThread::PostRequest(EntryEvent event) {
  const std::size_t bytes = MemoryOf(event);
  if (this->waiting_bytes.fetch_add(bytes) + bytes <= this->max_waiting_bytes &&
      this->loop.PostRequest({this->clock.Now(), std::move(event), bytes})) {
    return true;
  }
  this->waiting_bytes -= bytes;
  return false;
}

void CoreThread::PostResult(EntryEvent event) {
  this->loop.PostResult({this->clock.Now(), std::move(event)});
}

bool CoreThread::PostStatusRequest(StatusReceiver receive) {
  return this->loop.Post({this->clock.Now(), std::move(receive)});
}

void CoreThread::Handle(const Item& item) {
  this->lag.Note(item.posted, this->clock.Now());
  this->waiting_bytes -= item.bytes;
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
