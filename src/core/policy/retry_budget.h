/// Cap on placements after a proven "not run".
#pragma once

namespace quetzalvale {

/// Every first placement earns a share of one repeated placement, up to a reserve. Keeps refusals
/// from multiplying messages under overload. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(double share);

  void SetShare(double new_share);

  /// Notes a first placement.
  void Earn();

  /// Takes one repeated placement if the budget allows it.
  bool TrySpend();

 private:
  double share;
  double tokens;
};

}  // namespace quetzalvale
