#include "core/agent/lease_renewer.h"

#include <set>
#include <utility>

namespace quetzalvale {
namespace {

/// A lease is due after a third of its length. When one is due, other leases of that length past a
/// sixth are renewed in the same request, which saves a request of their own.
constexpr int kRenewalDivisor = 3;
constexpr int kEarlyRenewalDivisor = 6;

}  // namespace

void LeaseRenewer::Add(const TaskKey& task, Milliseconds lease, Time now) {
  this->leases[task] = Lease{lease, now};
}

void LeaseRenewer::Remove(const TaskKey& task) { this->leases.erase(task); }

std::vector<LeaseRenewer::Renewal> LeaseRenewer::TakeDue(Time now) {
  std::set<Milliseconds> due_lengths;
  for (const auto& [task, lease] : this->leases) {
    if ((now - lease.renewed) * kRenewalDivisor >= lease.length) {
      due_lengths.insert(lease.length);
    }
  }
  std::map<Milliseconds, Renewal> renewals;
  if (due_lengths.empty()) {
    return {};
  }
  for (auto& [task, lease] : this->leases) {
    const auto age = now - lease.renewed;
    if (!due_lengths.contains(lease.length) || age * kEarlyRenewalDivisor < lease.length) {
      continue;
    }
    Renewal& renewal = renewals[lease.length];
    renewal.lease = lease.length;
    renewal.tasks.push_back(task);
    renewal.late += age >= lease.length ? 1 : 0;
    lease.renewed = now;
  }
  std::vector<Renewal> result;
  result.reserve(renewals.size());
  for (auto& [length, renewal] : renewals) {
    result.push_back(std::move(renewal));
  }
  return result;
}

}  // namespace quetzalvale
