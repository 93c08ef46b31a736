/// Agents that an entry knows, and the roster of those that its tickets may use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/entry/job_table.h"
#include "core/entry/withdraw_queue.h"
#include "core/messages.h"
#include "core/policy/worker_resources.h"
#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

/// What was placed on an agent and is not in its reported load yet.
struct Unreported {
  int tasks = 0;
  /// Those of the tasks that join the agent's queue because not all that they declare is free.
  int waiting = 0;
  Resources declared;

  void Add(const Resources& task, bool waits);
  void Remove(const Resources& task, bool waits);
  void Remove(const Unreported& other);
};

/// Tasks of one start without a reply.
struct OpenStart {
  std::vector<TaskRef> tasks;
  Unreported sent;
  Time sent_at{};
};

/// One agent incarnation.
struct Agent {
  /// The last announcement, with the load of the last report of any kind.
  Announce announce;
  Time last_heard{};
  Time load_at{};
  bool leaving = false;
  /// The configuration binds the endpoint to its service.
  bool bound = true;
  /// Belongs to this entry's subset.
  bool member = false;
  /// What the agent was last told: that it is a member, the configuration version, and the number
  /// of entries that had appeared by then.
  bool told_member = false;
  std::uint64_t told_version = 0;
  std::uint64_t told_arrivals = 0;
  bool notice_under_way = false;
  Time next_notice{};
  /// When tasks began to wait for a sign of life of this agent; empty when none do.
  std::optional<Time> asked_since;
  /// When the agent last went from no task of this entry to some.
  Time active_since{};
  /// Zero while the agent was never a member.
  std::uint64_t first_roster = 0;
  std::uint64_t next_channel_sequence = 1;
  /// After a start that was not sent or that the endpoint could not take.
  Time paused_until{};
  Milliseconds pause{0};
  /// Tasks placed on the agent and not settled, with their expected run time at speed 1.
  std::map<TaskRef, Microseconds> outstanding;
  /// Starts without a reply, by channel sequence.
  std::map<std::uint64_t, OpenStart> starts;
  Unreported unreported;
  WithdrawQueue withdrawals;

  /// Mean expected run time of what is placed there, or `otherwise` when nothing is.
  Microseconds MeanRun(Microseconds otherwise) const;
  int FreeSlots() const;
  int Queued() const;
  /// The reported free amounts less what was placed since. May be negative.
  Resources Free() const;
};

/// Numbers agents in the order in which they are first used. A ticket uses only agents with
/// first_roster <= its own number, and the roster keeps agents that have gone for as long as
/// tickets from before may be asked about, so that another entry can tell from it which agents
/// could have run a job. Not thread-safe.
class AgentDirectory {
 public:
  /// `self` makes the subsets of different entries differ.
  explicit AgentDirectory(Incarnation self);

  /// Returns the agent or nullptr.
  Agent* Find(const Incarnation& agent);
  const std::map<Incarnation, Agent>& Agents() const { return this->agents; }
  std::map<Incarnation, Agent>& Agents() { return this->agents; }

  /// Returns the known incarnation that this announcement's incarnation replaces: another one of
  /// the same endpoint at the same address.
  std::optional<Incarnation> FindReplaced(const Announce& announce) const;

  /// Adds or updates the agent. Returns nullptr for an incarnation that was replaced before (a
  /// delayed announcement), and when the directory is full.
  Agent* Accept(const Announce& announce, Time now);

  /// Notes a sign of life and the reported load.
  void Hear(const Incarnation& agent, const AgentLoad* load, Time now);

  /// The incarnation is lost. Unless it was replaced, it may announce itself again later and is
  /// then used for new tickets only.
  void Remove(const Incarnation& agent, bool replaced, Time now);

  /// Whether the agent was removed lately and has not come back.
  bool IsRemoved(const Incarnation& agent) const;

  /// Chooses the members among the service's bound agents that are not leaving: all of them, or a
  /// subset by rendezvous hashing with a minimum per data centre. New members raise the roster.
  void UpdateMembers(const std::string& service, std::size_t subset_size);

  /// Returns the one of the entries that has the highest rendezvous score for an agent's name.
  /// Precondition: there is one.
  static Incarnation Chosen(const std::string& name, std::span<const Incarnation> entries);

  /// Evaluates the patterns that bind endpoints to the service.
  void Bind(const std::string& service, const std::vector<std::string>& patterns);

  /// Forgets agents that went longer than `kept` ago.
  void Expire(Time::duration kept, Time now);

  /// Reserves the next channel sequence of the agent.
  std::uint64_t NextChannelSequence(Agent& agent);

  std::uint64_t RosterNumber() const { return this->roster_number; }
  /// See Hello::complete_from.
  std::uint64_t CompleteFrom() const { return this->complete_from; }
  /// The items that changed after the number; the whole roster for zero.
  std::vector<RosterItem> RosterSince(std::uint64_t number) const;

 private:
  struct Removed {
    RosterItem item;
    bool replaced = false;
    Time removed_at{};
  };

  bool WasReplaced(const Incarnation& agent) const;
  void DropOldestRemoved();

  Incarnation self;
  std::map<Incarnation, Agent> agents;
  std::map<std::string, std::vector<std::string>> patterns;
  std::deque<Removed> removed;
  std::uint64_t roster_number = 0;
  std::uint64_t complete_from = 0;
  std::uint64_t highest_channel_sequence = 0;
};

/// Returns whether the name matches a pattern in which `*` stands for any run of characters.
bool MatchesPattern(const std::string& name, const std::string& pattern);

}  // namespace quetzalvale
