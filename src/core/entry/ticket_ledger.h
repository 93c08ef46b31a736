/// Tickets of one service that one entry incarnation issued.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "core/entry/answer_store.h"
#include "core/messages.h"
#include "core/service_configuration.h"
#include "core/types.h"

namespace quetzalvale {

enum class TicketState {
  /// Never issued by this ledger's owner in this form.
  kNeverIssued,
  kUnused,
  /// Unused for longer than tickets are valid. Nothing of it ran.
  kExpired,
  /// Its job was refused before. Nothing of it ran.
  kRefused,
  /// A job was taken with it.
  kUsed,
  /// So old that it is not known whether it was used.
  kForgotten
};

/// Remembers which tickets were used, so that no job is taken twice, and keeps their answers. A
/// ledger received by Import belongs to an owner that has left: it issues and takes nothing. Memory
/// is bounded. Not thread-safe.
class TicketLedger {
 public:
  using Answers = AnswerStore<std::uint64_t>;

  TicketLedger(std::string service, Incarnation owner);

  void SetLimits(const ServiceConfiguration::Tickets& new_limits);

  /// Issues up to `count` tickets.
  std::vector<Ticket> Issue(std::uint32_t count, std::uint64_t roster, Time now);

  /// Precondition: the ticket names this ledger's service and owner.
  TicketState Look(const Ticket& ticket, Time now) const;

  /// Marks an unused ticket as used. Returns false when it was not unused.
  bool Use(const Ticket& ticket, Time now);

  /// Marks an unused or expired ticket as refused, so that no later copy of its job is taken: the
  /// caller has been told that nothing of it runs.
  void Refuse(const Ticket& ticket);

  void KeepAnswer(std::uint64_t sequence, std::uint64_t body_hash, Answer answer, Time now);

  /// Returns the answer or nullptr.
  const Answers::Entry* FindAnswer(std::uint64_t sequence) const;

  /// Drops blocks and answers that are too old.
  void Expire(Time now);

  /// Snapshot for a successor, in parts of the size of an ordinary message.
  std::vector<HandOver> Export() const;

  /// Adds a part of the owner's snapshot and closes the ledger. The parts come in order, or again
  /// from the first; a repeated one changes nothing. Returns false for one that comes too early.
  bool Import(const HandOver& part, Time now);

  /// Whether all parts of the owner's snapshot were imported. Until then every ticket that is not
  /// known to be used counts as forgotten.
  bool IsImported() const { return this->imported; }

  /// Approximate memory of an imported ledger.
  std::size_t ImportedBytes() const;

  const std::string& Service() const { return this->service; }
  const Incarnation& Owner() const { return this->owner; }
  std::size_t BlockCount() const { return this->blocks.size(); }

 private:
  /// Consecutive sequences with one roster. The last block grows until it is full.
  struct Block {
    std::uint64_t first = 0;
    std::uint64_t roster = 0;
    Time opened{};
    Time last_issued{};
    std::vector<bool> used;
    std::vector<bool> refused;
  };

  const Block* FindBlock(std::uint64_t sequence) const;
  Block* FindBlock(std::uint64_t sequence);
  void OpenBlock(std::uint64_t roster, Time now);
  TicketState LookClosed(std::uint64_t sequence) const;
  std::vector<std::uint64_t> UsedSequences() const;

  std::string service;
  Incarnation owner;
  ServiceConfiguration::Tickets limits;
  std::uint64_t next_sequence = 1;
  /// Sequences below the floor are forgotten.
  std::uint64_t floor = 1;
  std::deque<Block> blocks;
  Answers answers;
  bool closed = false;
  bool imported = false;
  std::uint32_t next_part = 0;
  /// Of a closed ledger.
  std::set<std::uint64_t> closed_used;
};

}  // namespace quetzalvale
