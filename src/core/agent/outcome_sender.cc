#include "core/agent/outcome_sender.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quetzalvale {
namespace {

constexpr Milliseconds kFirstPause{100};
/// An owner behind a healed partition gets its outcomes within this time.
constexpr Milliseconds kLongestPause{5000};
/// After this time without a reply an owner is taken as gone; far beyond any job's deadline.
constexpr Milliseconds kUnreachableLimit{300000};
/// A batch without a result after this time counts as failed, so that a result that was dropped
/// under overload does not stop the delivery. Longer than any inner call's timeout.
constexpr Milliseconds kUnderWayLimit{30000};

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
    state.pause = Milliseconds(0);
    state.due = now;
  }
}

bool OutcomeSender::Add(const TaskKey& task, Time now, Milliseconds patience) {
  const auto found = this->owners.find(task.ticket.owner);
  if (found == this->owners.end() || found->second.gone) {
    return false;
  }
  Owner& owner = found->second;
  const Time wanted = now + std::max(this->delay, patience);
  if (owner.pending.empty()) {
    owner.due = std::max(owner.due, wanted);
  } else if (!owner.failing_since) {
    owner.due = std::min(owner.due, wanted);
  }
  // An earlier outcome, of a start that did not run, is not of use any more.
  std::erase(owner.pending, task);
  owner.sent.erase(task);
  owner.pending.push_back(task);
  return true;
}

std::vector<OutcomeSender::Batch> OutcomeSender::TakeDue(Time now) {
  std::vector<Batch> batches;
  for (auto& [incarnation, owner] : this->owners) {
    if (owner.under_way_since && now - *owner.under_way_since >= kUnderWayLimit) {
      this->Failed(incarnation, now);
    }
    if (owner.pending.empty() || owner.under_way_since) {
      continue;
    }
    const bool full = owner.pending.size() >= this->batch_tasks && !owner.failing_since;
    if (now >= owner.due || full) {
      owner.under_way_since = now;
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
  const std::set<TaskKey> done(acknowledged.begin(), acknowledged.end());
  std::erase_if(owner.pending, [&](const TaskKey& task) { return done.contains(task); });
  owner.under_way_since.reset();
  owner.failing_since.reset();
  owner.pause = Milliseconds(0);
  owner.due = now;
  return acknowledged;
}

void OutcomeSender::Failed(const Incarnation& incarnation, Time now) {
  const auto found = this->owners.find(incarnation);
  if (found == this->owners.end()) {
    return;
  }
  Owner& owner = found->second;
  owner.under_way_since.reset();
  if (!owner.failing_since) {
    owner.failing_since = now;
  }
  owner.pause = std::clamp(owner.pause * 2, kFirstPause, kLongestPause);
  owner.due = now + owner.pause;
}

std::vector<TaskKey> OutcomeSender::GiveUp(const Incarnation& incarnation) {
  const auto found = this->owners.find(incarnation);
  if (found == this->owners.end()) {
    return {};
  }
  Owner& owner = found->second;
  std::vector<TaskKey> tasks(owner.pending.begin(), owner.pending.end());
  Owner forgotten;
  forgotten.address = owner.address;
  forgotten.gone = true;
  owner = std::move(forgotten);
  return tasks;
}

std::vector<OutcomeSender::GivenUp> OutcomeSender::GiveUpUnreachable(Time now) {
  std::vector<GivenUp> given_up;
  for (const auto& [incarnation, owner] : this->owners) {
    if (owner.failing_since && now - *owner.failing_since >= kUnreachableLimit) {
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
                               const std::function<bool(const Incarnation&)>& holds) const {
  return std::ranges::any_of(this->owners, [&](const auto& element) {
    return element.second.address == address && holds(element.first);
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
