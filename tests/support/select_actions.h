/// Picks actions of one type out of what a core returned.
#pragma once

#include <variant>
#include <vector>

namespace quetzalvale {

/// Returns the actions of type T, in order.
template <typename T, typename Action>
std::vector<T> Select(const std::vector<Action>& actions) {
  std::vector<T> selected;
  for (const Action& action : actions) {
    if (const T* match = std::get_if<T>(&action)) {
      selected.push_back(*match);
    }
  }
  return selected;
}

}  // namespace quetzalvale
