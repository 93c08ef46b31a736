#include "core/agent/outcome_sender.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quetzalvale {
namespace {

constexpr Milliseconds kMinBackoff{100};
/// Limit of the backoff: once a network partition heals, an owner gets its outcomes within this
/// time.
constexpr Milliseconds kMaxBackoff{5000};
/// An owner that has not replied for this long is taken as gone. Far longer than any job's
/// deadline.
constexpr Milliseconds kUnreachableTimeout{300000};
/// A batch without a result after this time counts as failed, so that a result dropped under
/// overload does not stall the delivery. Longer than the timeout of any call between entries and
/// agents.
constexpr Milliseconds kInFlightTimeout{30000};

}  // namespace

void OutcomeSender::SetBatching(Milliseconds new_delay, std::size_t new_batch_tasks) {
  this->delay = new_delay;
  this->batch_tasks = std::max<std::size_t>(1, new_batch_tasks);
}

void OutcomeSender::HeardFrom(const Incarnation& owner, const std::string& address, Time now) {
  const auto found = this->owners.find(owner);
  if (found == this->owners.end() && address.empty()) {
    return;
  }
  Owner& state = this->owners[owner];
  if (!address.empty()) {
    state.address = address;
  }
  state.gone = false;
  if (state.failing_since) {
    state.failing_since.reset();
    state.backoff = Milliseconds(0);
    state.due = now;
  }
}

bool OutcomeSender::Add(const TaskKey& task, Time now, Milliseconds max_wait) {
  const auto found = this->owners.find(task.ticket.owner);
  if (found == this->owners.end() || found->second.gone) {
    return false;
  }
  Owner& owner = found->second;
  const Time send_at = now + std::max(this->delay, max_wait);
  if (owner.pending.empty()) {
    owner.due = std::max(owner.due, send_at);
  } else if (!owner.failing_since) {
    owner.due = std::min(owner.due, send_at);
  }
  // A pending outcome of an earlier start that did not run is obsolete.
  std::erase(owner.pending, task);
  owner.sent.erase(task);
  owner.pending.push_back(task);
  return true;
}

std::vector<OutcomeSender::Batch> OutcomeSender::TakeDue(Time now) {
  std::vector<Batch> batches;
  for (auto& [incarnation, owner] : this->owners) {
    if (owner.in_flight_since && now - *owner.in_flight_since >= kInFlightTimeout) {
      this->Failed(incarnation, now);
    }
    if (owner.pending.empty() || owner.in_flight_since) {
      continue;
    }
    const bool full = owner.pending.size() >= this->batch_tasks && !owner.failing_since;
    if (now >= owner.due || full) {
      owner.in_flight_since = now;
      batches.push_back(this->MakeBatch(incarnation, owner));
    }
  }
  return batches;
}

OutcomeSender::Batch OutcomeSender::MakeBatch(const Incarnation& incarnation, Owner& owner) {
  Batch batch{incarnation, owner.address, {}, 0};
  for (const auto& task : owner.pending) {
    if (batch.tasks.size() == this->batch_tasks) {
      break;
    }
    batch.tasks.push_back(task);
    batch.first_sent += owner.sent.insert(task).second ? 1 : 0;
  }
  return batch;
}

std::vector<TaskKey> OutcomeSender::Acknowledged(const Incarnation& incarnation,
                                                 const std::vector<TaskKey>& tasks, Time now) {
  const auto found = this->owners.find(incarnation);
  if (found == this->owners.end()) {
    return {};
  }
  Owner& owner = found->second;
  std::vector<TaskKey> acknowledged;
  std::ranges::copy_if(tasks, std::back_inserter(acknowledged),
                       [&](const TaskKey& task) { return owner.sent.erase(task) > 0; });
  const std::set<TaskKey> acknowledged_set(acknowledged.begin(), acknowledged.end());
  std::erase_if(owner.pending,
                [&](const TaskKey& task) { return acknowledged_set.contains(task); });
  owner.in_flight_since.reset();
  owner.failing_since.reset();
  owner.backoff = Milliseconds(0);
  owner.due = now;
  return acknowledged;
}

void OutcomeSender::Failed(const Incarnation& incarnation, Time now) {
  const auto found = this->owners.find(incarnation);
  if (found == this->owners.end()) {
    return;
  }
  Owner& owner = found->second;
  owner.in_flight_since.reset();
  if (!owner.failing_since) {
    owner.failing_since = now;
  }
  owner.backoff = std::clamp(owner.backoff * 2, kMinBackoff, kMaxBackoff);
  owner.due = now + owner.backoff;
}

std::vector<TaskKey> OutcomeSender::GiveUp(const Incarnation& incarnation) {
  const auto found = this->owners.find(incarnation);
  if (found == this->owners.end()) {
    return {};
  }
  Owner& owner = found->second;
  std::vector<TaskKey> tasks(owner.pending.begin(), owner.pending.end());
  Owner reset_owner;
  reset_owner.address = owner.address;
  reset_owner.gone = true;
  owner = std::move(reset_owner);
  return tasks;
}

std::vector<OutcomeSender::GivenUp> OutcomeSender::GiveUpUnreachable(Time now) {
  std::vector<GivenUp> given_up;
  for (const auto& [incarnation, owner] : this->owners) {
    if (owner.failing_since && now - *owner.failing_since >= kUnreachableTimeout) {
      given_up.push_back(GivenUp{incarnation, {}});
    }
  }
  for (auto& item : given_up) {
    item.tasks = this->GiveUp(item.owner);
  }
  return given_up;
}

bool OutcomeSender::HasPending(const Incarnation& owner) const {
  const auto found = this->owners.find(owner);
  return found != this->owners.end() && !found->second.pending.empty();
}

std::string OutcomeSender::AddressOf(const Incarnation& owner) const {
  const auto found = this->owners.find(owner);
  return found == this->owners.end() ? std::string() : found->second.address;
}

bool OutcomeSender::AnyOwnerAt(const std::string& address,
                               const std::function<bool(const Incarnation&)>& predicate) const {
  return std::ranges::any_of(this->owners, [&](const auto& element) {
    return element.second.address == address && predicate(element.first);
  });
}

bool OutcomeSender::AnyPending(const std::function<bool(const TaskKey&)>& predicate) const {
  return std::ranges::any_of(this->owners, [&](const auto& element) {
    return std::ranges::any_of(element.second.pending, predicate);
  });
}

std::size_t OutcomeSender::Pending() const {
  std::size_t pending = 0;
  for (const auto& [incarnation, owner] : this->owners) {
    pending += owner.pending.size();
  }
  return pending;
}

}  // namespace quetzalvale
