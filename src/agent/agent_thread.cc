#include "agent/agent_thread.h"

#include <utility>

namespace quetzalvale {
namespace {

constexpr std::size_t kRingCapacity = 8192;
/// Queued tasks expire and outcome batches leave within this time of being due.
constexpr std::chrono::milliseconds kTickPeriod{10};

}  // namespace

AgentThread::AgentThread(AgentCore& core, const Clock& clock, Metrics& metrics, Runner run)
    : core(core),
      clock(clock),
      metrics(metrics),
      run(std::move(run)),
      loop(
          kRingCapacity, kTickPeriod, [this](const AgentEvent& event) { this->Handle(event); },
          [this] { this->Handle(Tick{}); }) {}

AgentThread::~AgentThread() { this->Stop(); }

void AgentThread::Start() { this->loop.Start(); }

void AgentThread::Stop() { this->loop.Stop(); }

bool AgentThread::PostRequest(AgentEvent event) { return this->loop.PostRequest(std::move(event)); }

void AgentThread::PostResult(AgentEvent event) { this->loop.PostResult(std::move(event)); }

void AgentThread::Handle(const AgentEvent& event) {
  for (const auto& action : this->core.Handle(this->clock.Now(), event)) {
    this->run(action);
  }
  this->ready = this->core.IsReady();
  this->evacuated = this->core.IsEvacuated();
  this->CountOutcomes();
}

void AgentThread::CountOutcomes() {
  const auto count = [this](const char* name, std::uint64_t total, std::uint64_t& counted) {
    if (total > counted) {
      this->metrics.Add(name, total - counted);
      counted = total;
    }
  };
  count("outcomes_sent_total", this->core.OutcomesSent(), this->counted_sent);
  count("outcomes_repeated_total", this->core.OutcomesResent(), this->counted_repeated);
  count("messages_useful_total", this->core.MessagesWithNewOutcomes(), this->counted_useful);
}

}  // namespace quetzalvale
