#include "core/policy/retry_budget.h"

#include <algorithm>

namespace quetzalvale {
namespace {

/// Largest saved budget, in placements: a large batch that a leaving agent refuses can be placed
/// again at once.
constexpr double kReserve = 100;

}  // namespace

RetryBudget::RetryBudget(double share) : share(share), tokens(share > 0 ? kReserve : 0) {}

void RetryBudget::SetShare(double new_share) {
  if (this->share <= 0 && new_share > 0) {
    this->tokens = kReserve;
  }
  if (new_share <= 0) {
    this->tokens = 0;
  }
  this->share = new_share;
}

void RetryBudget::Earn() { this->tokens = std::min(this->tokens + this->share, kReserve); }

bool RetryBudget::TrySpend() {
  // Sums of shares, such as ten times 0.1, fall short of 1 by a rounding error.
  constexpr double kRounding = 1e-9;
  if (this->tokens < 1 - kRounding) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace quetzalvale
