#include "scenario/call_records.h"

#include <mutex>
#include <utility>

namespace quetzalvale {

struct CallRecords::State {
  std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
  std::mutex mutex;
  std::vector<std::optional<CallRecord>> records;

  double NowMs() const {
    const auto elapsed = std::chrono::steady_clock::now() - this->begin;
    return std::chrono::duration<double, std::milli>(elapsed).count();
  }
};

CallRecords::CallRecords() : state(std::make_shared<State>()) {}

CallRecords::~CallRecords() = default;

std::uint64_t CallRecords::Start(const CallRequest& request) {
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(this->state->mutex);
    number = this->state->records.size();
    this->state->records.emplace_back();
  }
  const double sent_ms = this->NowMs();
  StartHttpCall(request, [state = this->state, number, sent_ms](CallResult result) {
    const double answered_ms = state->NowMs();
    const std::lock_guard lock(state->mutex);
    state->records[number] = CallRecord{sent_ms, answered_ms, std::move(result)};
  });
  return number;
}

std::optional<CallRecord> CallRecords::Find(std::uint64_t number) const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->records.at(number);
}

double CallRecords::NowMs() const { return this->state->NowMs(); }

}  // namespace quetzalvale
