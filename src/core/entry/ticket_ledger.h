/// Tickets that one entry incarnation issued for one service.
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
  /// The ledger's owner issued no ticket with this sequence and roster number.
  kNeverIssued,
  kUnused,
  /// Not used within the validity of tickets. No task of it ran.
  kExpired,
  /// A job with it was refused. No task of it ran.
  kRefused,
  /// A job with it was accepted.
  kUsed,
  /// The record was dropped, so it is not known whether the ticket was used.
  kForgotten
};

/// Records which tickets were used, so that no job is accepted twice, and stores their answers. A
/// ledger filled by Import belongs to an owner that has left, and is read-only: it issues no
/// tickets and marks none as used. Memory is bounded. Not thread-safe.
class TicketLedger {
 public:
  using Answers = AnswerStore<std::uint64_t>;

  TicketLedger(std::string service, Incarnation owner);

  void SetLimits(const ServiceConfiguration::Tickets& new_limits);

  /// Issues `count` tickets; none when the ledger is read-only.
  std::vector<Ticket> Issue(std::uint32_t count, std::uint64_t roster, Time now);

  /// Returns the state of a ticket. Precondition: the ticket has this ledger's service and owner.
  TicketState StateOf(const Ticket& ticket, Time now) const;

  /// Marks an unused ticket as used. Returns false if it is in any other state.
  bool MarkUsed(const Ticket& ticket, Time now);

  /// Marks an unused or expired ticket as refused, so that a delayed copy of its job is not
  /// accepted after the caller was told that nothing of the job runs.
  void Refuse(const Ticket& ticket);

  /// Stores the answer given under the sequence. The first answer of a sequence is final.
  void KeepAnswer(std::uint64_t sequence, std::uint64_t body_hash, Answer answer, Time now);

  /// Returns the stored answer or nullptr.
  const Answers::Entry* FindAnswer(std::uint64_t sequence) const;

  /// Drops blocks and answers that have passed their retention time.
  void Expire(Time now);

  /// Returns a snapshot for a successor, split into parts of the size of an ordinary message.
  std::vector<HandOver> Export() const;

  /// Adds a part of the owner's snapshot and makes the ledger read-only. Parts must arrive in
  /// order; a repeated part changes nothing, and the sender may start again from the first. Returns
  /// false if an earlier part is missing.
  bool Import(const HandOver& part, Time now);

  /// Whether all parts of the owner's snapshot were imported. Until then every ticket that is not
  /// known to be used is reported as kForgotten.
  bool IsImported() const { return this->imported; }

  /// Approximate memory of an imported ledger, in bytes.
  std::size_t ImportedBytes() const;

  const std::string& Service() const { return this->service; }
  const Incarnation& Owner() const { return this->owner; }
  std::size_t BlockCount() const { return this->blocks.size(); }

 private:
  /// Consecutive sequences issued with the same roster number. The last block grows until full.
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
  TicketState ImportedStateOf(std::uint64_t sequence) const;
  std::vector<std::uint64_t> UsedSequences() const;

  std::string service;
  Incarnation owner;
  ServiceConfiguration::Tickets limits;
  std::uint64_t next_sequence = 1;
  /// Nothing is recorded of sequences below this one.
  std::uint64_t floor = 1;
  std::deque<Block> blocks;
  Answers answers;
  bool read_only = false;
  bool imported = false;
  std::uint32_t next_part = 0;
  /// Used sequences of a read-only ledger.
  std::set<std::uint64_t> imported_used;
};

}  // namespace quetzalvale
