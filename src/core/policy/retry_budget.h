/// Limits repeated placements of tasks that were proven not to have run.
#pragma once

namespace quetzalvale {

/// Every first placement earns a share of one repeated placement, up to a limit. This keeps
/// refusals from multiplying messages under overload. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(double share);

  void SetShare(double new_share);

  /// Records a first placement.
  void Earn();

  /// Spends one repeated placement; returns false if the budget does not allow it.
  bool TrySpend();

 private:
  double share;
  double tokens;
};

}  // namespace quetzalvale
