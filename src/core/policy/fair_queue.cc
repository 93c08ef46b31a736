#include "core/policy/fair_queue.h"

#include <algorithm>

namespace quetzalvale {

void FairQueue::Add(const std::string& name, const Item& item) {
  const auto [found, added] = this->teams.try_emplace(name);
  Team& team = found->second;
  if (team.items.empty()) {
    this->idle.erase({team.started, found->first});
    team.started = std::max(team.started, this->virtual_time);
    this->waiting.insert({team.started, found->first});
  }
  team.items.insert(item);
  team.work += item.expected;
  this->work += item.expected;
}

void FairQueue::Remove(const std::string& name, const Item& item) {
  const auto found = this->teams.find(name);
  Team& team = found->second;
  if (team.items.erase(item) == 0) {
    return;
  }
  team.work -= item.expected;
  this->work -= item.expected;
  if (team.items.empty()) {
    this->waiting.erase({team.started, found->first});
    this->idle.insert({team.started, found->first});
    this->ForgetIdleTeams();
  }
}

void FairQueue::Take(const std::string& name, const Item& item) {
  this->Charge(this->teams.find(name), item.expected);
  this->Remove(name, item);
}

void FairQueue::Charge(Teams::iterator found, Microseconds expected) {
  Team& team = found->second;
  this->virtual_time = std::max(this->virtual_time, team.started);
  this->waiting.erase({team.started, found->first});
  team.started += expected;
  this->waiting.insert({team.started, found->first});
}

void FairQueue::ForgetIdleTeams() {
  // A team whose started work is not ahead of the virtual time would start at the virtual time
  // anyway.
  while (!this->idle.empty() &&
         (this->waiting.empty() || this->idle.begin()->first <= this->virtual_time)) {
    const auto found = this->teams.find(this->idle.begin()->second);
    this->idle.erase(this->idle.begin());
    this->teams.erase(found);
  }
}

void FairQueue::AddWork(std::map<std::string, Microseconds, std::less<>>& by_team) const {
  for (const auto& [started, name] : this->waiting) {
    const auto found = this->teams.find(name);
    by_team[found->first] += found->second.work;
  }
}

FairQueue::Walk::Walk(const FairQueue& queue) : queue(&queue), next_turn(queue.waiting.begin()) {}

void FairQueue::Walk::VisitNextTeam() {
  while (this->next_turn != this->queue->waiting.end()) {
    const Turn turn = *this->next_turn;
    if (!this->positions.empty() && this->positions.begin()->first < turn) {
      return;
    }
    ++this->next_turn;
    // A team whose task was taken in the meantime has moved to a later turn.
    if (this->visited.emplace(turn.second).second) {
      const std::set<Item>& items = this->queue->teams.find(turn.second)->second.items;
      this->positions[turn] = {&items, items.begin()};
    }
  }
}

std::optional<TaskRef> FairQueue::Walk::Next() {
  this->VisitNextTeam();
  if (this->positions.empty()) {
    return std::nullopt;
  }
  auto [turn, position] = *this->positions.begin();
  this->positions.erase(this->positions.begin());
  const Item item = *position.next++;
  if (position.next != position.items->end()) {
    this->positions[{turn.first + item.expected, turn.second}] = position;
  }
  return item.task;
}

}  // namespace quetzalvale
