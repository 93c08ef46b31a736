/// The agents known to an entry, and the roster of those that its tickets may use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/entry/job_table.h"
#include "core/entry/withdraw_queue.h"
#include "core/messages.h"
#include "core/policy/worker_resources.h"
#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

/// Load that was placed on an agent and that its last report does not include yet.
struct UnreportedLoad {
  int tasks = 0;
  /// Number of these tasks that join the agent's queue because some of the resources that they
  /// declare are not free.
  int waiting = 0;
  Resources declared;

  void Add(const Resources& task, bool waits);
  void Remove(const Resources& task, bool waits);
  void Remove(const UnreportedLoad& other);
};

/// A start message that has no reply yet.
struct PendingStart {
  std::vector<TaskRef> tasks;
  UnreportedLoad sent;
  Time sent_at{};
};

/// An agent incarnation with its reported load and the tasks that this entry placed on it.
struct Agent {
  /// The last announcement; its load is updated by every later report.
  Announce announce;
  Time last_heard{};
  Time load_reported_at{};
  bool leaving = false;
  /// A name pattern of the service's configuration matches the endpoint.
  bool bound = true;
  /// The agent belongs to the subset that this entry places tasks on.
  bool member = false;
  /// Contents of the last notice or reply to the agent: whether it is a member, the configuration
  /// version, and PeerTable::TotalPeersSeen at that time.
  bool notified_member = false;
  std::uint64_t notified_version = 0;
  std::uint64_t notified_peers_seen = 0;
  bool notice_in_flight = false;
  Time next_notice{};
  /// Since when tasks have been waiting for a sign of life from this agent; empty when none are.
  std::optional<Time> reply_awaited_since;
  /// When the agent last went from holding no tasks of this entry to holding some.
  Time active_since{};
  /// When a start was last sent to the agent. The agent may have heard it although none of its
  /// replies arrive, and then continues the runs of this entry.
  Time last_start_sent{};
  /// Earliest time at which tasks are again considered for moving away from the agent.
  Time next_move_check{};
  /// Roster number at which the agent became a member; zero if it never was one.
  std::uint64_t first_roster = 0;
  std::uint64_t next_channel_sequence = 1;
  /// No tasks are placed on the agent until then, after a start message that could not be sent or
  /// that the endpoint refused. `pause` is the current backoff.
  Time paused_until{};
  Milliseconds pause{0};
  /// Tasks placed on the agent whose result is not known yet, with their expected run time at
  /// speed 1.
  std::map<TaskRef, Microseconds> outstanding;
  /// Start messages without a reply, by channel sequence.
  std::map<std::uint64_t, PendingStart> starts;
  UnreportedLoad unreported;
  WithdrawQueue withdrawals;

  bool HasLabel(std::string_view label) const;
  /// Mean expected run time of the outstanding tasks, or `otherwise` if there are none.
  Microseconds MeanExpectedRunTime(Microseconds otherwise) const;
  /// Reported free slots less the tasks placed since; never negative.
  int FreeSlots() const;
  /// Estimated length of the agent's queue: the reported length plus the tasks placed since that
  /// join it or exceed the free slots.
  int QueuedTasks() const;
  /// Reported free resources less those of the tasks placed since. May be negative.
  Resources FreeResources() const;
};

/// Holds the agents and numbers the changes of the roster. A ticket uses only agents with
/// first_roster <= its own roster number. Agents that have gone stay in the roster for as long as
/// older tickets may be queried, so that another entry can determine which agents can have run a
/// job. Not thread-safe.
class AgentDirectory {
 public:
  /// `self` is hashed into the choice of members, so that different entries use different subsets.
  explicit AgentDirectory(Incarnation self);

  /// Returns the agent or nullptr.
  Agent* Find(const Incarnation& agent);
  const std::map<Incarnation, Agent>& Agents() const { return this->agents; }
  std::map<Incarnation, Agent>& Agents() { return this->agents; }

  /// Returns the known incarnation that the announcing one replaces: another incarnation with the
  /// same name and address.
  std::optional<Incarnation> FindReplaced(const Announce& announce) const;

  /// Adds or updates the agent. Returns nullptr for an incarnation that was replaced before (a
  /// delayed announcement), and when the directory is full.
  Agent* AddOrUpdate(const Announce& announce, Time now);

  /// Records a sign of life, and the reported load unless `load` is null.
  void RecordReport(const Incarnation& agent, const AgentLoad* load, Time now);

  /// Removes an agent that is lost. Unless it was replaced, it may announce itself again later, and
  /// is then used for new tickets only.
  void Remove(const Incarnation& agent, bool replaced, Time now);

  /// Whether another incarnation has taken the agent's name and address.
  bool WasReplaced(const Incarnation& agent) const;

  /// Whether the agent is among the recently removed ones and has not announced itself again.
  bool IsRemoved(const Incarnation& agent) const;

  /// Chooses the members among the service's bound agents that are not leaving: all of them, or a
  /// subset by rendezvous hashing with a minimum per data centre. Each new member increments the
  /// roster number.
  void UpdateMembers(const std::string& service, std::size_t subset_size);

  /// Returns the entry with the highest rendezvous score for the agent's name. Precondition:
  /// `entries` is not empty.
  static Incarnation HighestScoring(const std::string& name, std::span<const Incarnation> entries);

  /// Sets the name patterns that bind endpoints to the service, and applies them to known agents.
  void Bind(const std::string& service, const std::vector<std::string>& patterns);

  /// Drops the records of agents that were removed at least `retention` ago.
  void Expire(Time::duration retention, Time now);

  /// Allocates the agent's next channel sequence.
  std::uint64_t NextChannelSequence(Agent& agent);

  std::uint64_t RosterNumber() const { return this->roster_number; }
  /// See Hello::complete_from.
  std::uint64_t CompleteFrom() const { return this->complete_from; }
  /// Returns the items that changed after this roster number; zero gives the whole roster.
  std::vector<RosterItem> RosterSince(std::uint64_t number) const;

 private:
  struct Removed {
    RosterItem item;
    bool replaced = false;
    Time removed_at{};
  };

  void DropOldestRemoved();

  Incarnation self;
  std::map<Incarnation, Agent> agents;
  std::map<std::string, std::vector<std::string>> patterns;
  std::deque<Removed> removed;
  std::uint64_t roster_number = 0;
  std::uint64_t complete_from = 0;
  std::uint64_t highest_channel_sequence = 0;
};

/// Returns whether the name matches the pattern, in which `*` matches any number of characters and
/// all other characters match themselves.
bool MatchesPattern(const std::string& name, const std::string& pattern);

}  // namespace quetzalvale
