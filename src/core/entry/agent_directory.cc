#include "core/entry/agent_directory.h"

#include <fnmatch.h>
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace quetzalvale {
namespace {

/// Several times the largest deployment (750 endpoints).
constexpr std::size_t kMaxAgents = 4096;

/// More than the replacements within a day in the largest deployment.
constexpr std::size_t kMaxRemoved = 512;

/// Half of a subset is reserved in equal shares for the data centres.
constexpr std::size_t kReservedDivisor = 2;

/// Score of rendezvous hashing. Uses the name, which a restart does not change, so that a restarted
/// agent stays in the same subsets.
std::uint64_t Score(const Incarnation& entry, const std::string& name) {
  return XXH64(name.data(), name.size(), XXH64(&entry, sizeof(entry), 0));
}

}  // namespace

bool MatchesPattern(const std::string& name, const std::string& pattern) {
  std::string escaped;
  for (const char character : pattern) {
    if (character == '?' || character == '[' || character == '\\') {
      escaped.push_back('\\');
    }
    escaped.push_back(character);
  }
  return fnmatch(escaped.c_str(), name.c_str(), 0) == 0;
}

void UnreportedLoad::Add(const Resources& task, bool waits) {
  ++this->tasks;
  this->waiting += waits ? 1 : 0;
  this->declared += task;
}

void UnreportedLoad::Remove(const Resources& task, bool waits) {
  --this->tasks;
  this->waiting -= waits ? 1 : 0;
  this->declared -= task;
}

void UnreportedLoad::Remove(const UnreportedLoad& other) {
  this->tasks -= other.tasks;
  this->waiting -= other.waiting;
  this->declared -= other.declared;
}

bool Agent::HasLabel(std::string_view label) const {
  return std::ranges::find(this->announce.labels, label) != this->announce.labels.end();
}

Microseconds Agent::MeanExpectedRunTime(Microseconds otherwise) const {
  if (this->outstanding.empty()) {
    return otherwise;
  }
  Microseconds sum{0};
  for (const auto& [task, expected] : this->outstanding) {
    sum += expected;
  }
  return sum / static_cast<std::int64_t>(this->outstanding.size());
}

int Agent::FreeSlots() const {
  return std::max(0, this->announce.load.free_slots - this->unreported.tasks);
}

int Agent::QueuedTasks() const {
  const int starting = this->unreported.tasks - this->unreported.waiting;
  return this->announce.load.queued + this->unreported.waiting +
         std::max(0, starting - this->announce.load.free_slots);
}

Resources Agent::FreeResources() const {
  Resources free = ReportedFree(this->announce.worker, this->announce.load);
  free -= this->unreported.declared;
  return free;
}

AgentDirectory::AgentDirectory(Incarnation self) : self(self) {}

Agent* AgentDirectory::Find(const Incarnation& agent) {
  const auto found = this->agents.find(agent);
  return found == this->agents.end() ? nullptr : &found->second;
}

std::optional<Incarnation> AgentDirectory::FindReplaced(const Announce& announce) const {
  if (this->WasReplaced(announce.agent)) {
    return std::nullopt;
  }
  for (const auto& [incarnation, agent] : this->agents) {
    if (incarnation != announce.agent && agent.announce.address == announce.address &&
        agent.announce.name == announce.name) {
      return incarnation;
    }
  }
  return std::nullopt;
}

bool AgentDirectory::WasReplaced(const Incarnation& agent) const {
  return std::ranges::any_of(this->removed, [&](const Removed& gone) {
    return gone.replaced && gone.item.agent == agent;
  });
}

bool AgentDirectory::IsRemoved(const Incarnation& agent) const {
  return !this->agents.contains(agent) &&
         std::ranges::any_of(this->removed,
                             [&](const Removed& gone) { return gone.item.agent == agent; });
}

Agent* AgentDirectory::AddOrUpdate(const Announce& announce, Time now) {
  const auto found = this->agents.find(announce.agent);
  if (found == this->agents.end() &&
      (this->agents.size() >= kMaxAgents || this->WasReplaced(announce.agent))) {
    return nullptr;
  }
  Agent& agent = this->agents[announce.agent];
  if (found == this->agents.end()) {
    // The incarnation may have been known and removed, with its record dropped since. Its channel
    // continues above every sequence that it can have received.
    agent.next_channel_sequence = this->highest_channel_sequence + 1;
    // An address belongs to one process, so agents that had it before are gone for good, and their
    // delayed announcements must not replace this agent.
    for (Removed& gone : this->removed) {
      gone.replaced = gone.replaced ||
                      (gone.item.address == announce.address && gone.item.agent != announce.agent);
    }
    const auto service_patterns = this->patterns.find(announce.service);
    agent.bound = service_patterns == this->patterns.end() ||
                  std::ranges::any_of(service_patterns->second, [&](const std::string& pattern) {
                    return MatchesPattern(announce.name, pattern);
                  });
  }
  agent.announce = announce;
  this->RecordReport(announce.agent, &announce.load, now);
  return &agent;
}

void AgentDirectory::RecordReport(const Incarnation& incarnation, const AgentLoad* load, Time now) {
  Agent* agent = this->Find(incarnation);
  if (agent == nullptr) {
    return;
  }
  agent->last_heard = now;
  if (load != nullptr) {
    agent->announce.load = *load;
    agent->load_reported_at = now;
    agent->leaving = agent->leaving || load->leaving;
  }
}

void AgentDirectory::Remove(const Incarnation& incarnation, bool replaced, Time now) {
  const auto found = this->agents.find(incarnation);
  if (found == this->agents.end()) {
    return;
  }
  const Agent& agent = found->second;
  Removed gone;
  gone.replaced = replaced;
  gone.removed_at = now;
  gone.item = {agent.announce.service, incarnation, agent.announce.address, agent.first_roster, 0};
  if (agent.first_roster != 0) {
    gone.item.end_roster = ++this->roster_number;
  }
  this->removed.push_back(std::move(gone));
  this->agents.erase(found);
  while (this->removed.size() > kMaxRemoved) {
    this->DropOldestRemoved();
  }
}

void AgentDirectory::DropOldestRemoved() {
  this->complete_from = std::max(this->complete_from, this->removed.front().item.end_roster);
  this->removed.pop_front();
}

void AgentDirectory::Expire(Time::duration retention, Time now) {
  while (!this->removed.empty() && now - this->removed.front().removed_at >= retention) {
    this->DropOldestRemoved();
  }
}

Incarnation AgentDirectory::HighestScoring(const std::string& name,
                                           std::span<const Incarnation> entries) {
  return *std::ranges::max_element(entries, {}, [&name](const Incarnation& entry) {
    return std::pair(Score(entry, name), entry);
  });
}

void AgentDirectory::UpdateMembers(const std::string& service, std::size_t subset_size) {
  struct Ranked {
    std::uint64_t score;
    Agent* agent;
  };
  std::vector<Ranked> ranked;
  std::map<std::string, std::size_t> members_per_centre;
  for (auto& [incarnation, agent] : this->agents) {
    if (agent.announce.service != service) {
      continue;
    }
    agent.member = false;
    if (agent.bound && !agent.leaving) {
      ranked.push_back({Score(this->self, agent.announce.name), &agent});
      members_per_centre[agent.announce.data_centre] = 0;
    }
  }
  std::ranges::sort(ranked, [](const Ranked& a, const Ranked& b) {
    return std::pair(a.score, a.agent->announce.agent) >
           std::pair(b.score, b.agent->announce.agent);
  });
  const std::size_t wanted = std::min(ranked.size(), std::max<std::size_t>(1, subset_size));
  std::size_t members = 0;
  if (wanted < ranked.size()) {
    const std::size_t floor = std::max<std::size_t>(
        1, subset_size / (kReservedDivisor * std::max<std::size_t>(1, members_per_centre.size())));
    for (const Ranked& candidate : ranked) {
      std::size_t& members_in_centre = members_per_centre[candidate.agent->announce.data_centre];
      if (members_in_centre < floor) {
        ++members_in_centre;
        ++members;
        candidate.agent->member = true;
      }
    }
  }
  for (const Ranked& candidate : ranked) {
    if (members < wanted && !candidate.agent->member) {
      ++members;
      candidate.agent->member = true;
    }
    if (candidate.agent->member && candidate.agent->first_roster == 0) {
      candidate.agent->first_roster = ++this->roster_number;
    }
  }
}

void AgentDirectory::Bind(const std::string& service,
                          const std::vector<std::string>& service_patterns) {
  this->patterns[service] = service_patterns;
  for (auto& [incarnation, agent] : this->agents) {
    if (agent.announce.service == service) {
      const std::string& name = agent.announce.name;
      agent.bound = std::ranges::any_of(service_patterns, [&name](const std::string& pattern) {
        return MatchesPattern(name, pattern);
      });
    }
  }
}

std::uint64_t AgentDirectory::NextChannelSequence(Agent& agent) {
  const std::uint64_t sequence = agent.next_channel_sequence++;
  this->highest_channel_sequence = std::max(this->highest_channel_sequence, sequence);
  return sequence;
}

std::vector<RosterItem> AgentDirectory::RosterSince(std::uint64_t number) const {
  std::vector<RosterItem> roster;
  for (const auto& [incarnation, agent] : this->agents) {
    if (agent.first_roster > number) {
      roster.push_back(
          {agent.announce.service, incarnation, agent.announce.address, agent.first_roster, 0});
    }
  }
  for (const Removed& gone : this->removed) {
    // The end is later than the start, so this includes items that were added and removed since.
    if (gone.item.end_roster > number) {
      roster.push_back(gone.item);
    }
  }
  return roster;
}

}  // namespace quetzalvale
