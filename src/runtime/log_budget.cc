#include "runtime/log_budget.h"

namespace quetzalvale {
namespace {

std::int64_t SecondOf(LogBudget::Time time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

}  // namespace

bool LogBudget::Take(int event, bool is_warning, Time now) {
  Use& use = this->uses[{event, is_warning}];
  const std::int64_t second = SecondOf(now);
  if (use.second != second) {
    use.second = second;
    use.lines = 0;
  }
  if (use.lines >= (is_warning ? this->warnings_per_s : this->ordinary_per_s)) {
    ++use.left_out;
    return false;
  }
  ++use.lines;
  return true;
}

std::vector<LogBudget::LeftOut> LogBudget::TakeLeftOut(Time now) {
  std::vector<LeftOut> left_out;
  const std::int64_t second = SecondOf(now);
  if (second == this->summary_second) {
    return left_out;
  }
  this->summary_second = second;
  for (auto& [key, use] : this->uses) {
    if (use.left_out > 0) {
      left_out.push_back({key.first, use.left_out});
      use.left_out = 0;
    }
  }
  return left_out;
}

}  // namespace quetzalvale
