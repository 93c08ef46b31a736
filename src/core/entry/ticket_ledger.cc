#include "core/entry/ticket_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace quetzalvale {
namespace {

/// About a million tickets in blocks of 64: ten times what 200 jobs/s use within the default
/// validity.
constexpr std::size_t kMaxBlocks = 16384;
constexpr std::size_t kMaxImportedUsed = std::size_t{1} << 20;

/// A new block is begun after this fraction (one in kBlockAgeDivisor) of the validity. A block
/// expires as a whole, counted from its last ticket; without the limit its first tickets would stay
/// valid much longer than the configured time.
constexpr int kBlockAgeDivisor = 4;

/// Limits of one part of a snapshot, which keep it at the size of an ordinary message.
constexpr std::size_t kUsedPerPart = 16384;
constexpr std::size_t kAnswersPerPart = 256;
constexpr std::size_t kResultBytesPerPart = std::size_t{1} << 20;

/// Approximate size of a node of the set of used sequences.
constexpr std::size_t kBytesPerUsedSequence = 48;

std::size_t ResultBytes(const Answer& answer) {
  std::size_t bytes = 0;
  for (const auto& result : answer.results) {
    bytes += result.size();
  }
  return bytes;
}

}  // namespace

TicketLedger::TicketLedger(std::string service, Incarnation owner)
    : service(std::move(service)), owner(owner) {}

void TicketLedger::SetLimits(const ServiceConfiguration::Tickets& new_limits) {
  this->limits = new_limits;
  this->answers.SetLimits(new_limits.answers_kept, new_limits.answer_kept);
}

std::vector<Ticket> TicketLedger::Issue(std::uint32_t count, std::uint64_t roster, Time now) {
  std::vector<Ticket> issued;
  if (this->read_only) {
    return issued;
  }
  for (std::uint32_t i = 0; i < count; ++i) {
    const bool fits =
        !this->blocks.empty() && this->blocks.back().roster == roster &&
        this->blocks.back().used.size() < std::max<std::uint32_t>(1, this->limits.block) &&
        now - this->blocks.back().opened < this->limits.valid / kBlockAgeDivisor;
    if (!fits) {
      this->OpenBlock(roster, now);
    }
    Block& block = this->blocks.back();
    block.used.push_back(false);
    block.refused.push_back(false);
    block.last_issued = now;
    issued.push_back({this->service, this->owner, this->next_sequence++, roster});
  }
  return issued;
}

void TicketLedger::OpenBlock(std::uint64_t roster, Time now) {
  if (this->blocks.size() >= kMaxBlocks) {
    this->blocks.pop_front();
    this->floor = this->blocks.front().first;
  }
  Block block;
  block.first = this->next_sequence;
  block.roster = roster;
  block.opened = now;
  this->blocks.push_back(std::move(block));
}

const TicketLedger::Block* TicketLedger::FindBlock(std::uint64_t sequence) const {
  auto after =
      std::upper_bound(this->blocks.begin(), this->blocks.end(), sequence,
                       [](std::uint64_t value, const Block& block) { return value < block.first; });
  if (after == this->blocks.begin()) {
    return nullptr;
  }
  const Block& block = *std::prev(after);
  return sequence - block.first < block.used.size() ? &block : nullptr;
}

TicketLedger::Block* TicketLedger::FindBlock(std::uint64_t sequence) {
  return const_cast<Block*>(std::as_const(*this).FindBlock(sequence));
}

TicketState TicketLedger::ImportedStateOf(std::uint64_t sequence) const {
  if (sequence < this->floor) {
    return TicketState::kForgotten;
  }
  if (this->imported_used.contains(sequence)) {
    return TicketState::kUsed;
  }
  return this->imported ? TicketState::kUnused : TicketState::kForgotten;
}

TicketState TicketLedger::StateOf(const Ticket& ticket, Time now) const {
  const std::uint64_t sequence = ticket.sequence;
  if (sequence == 0 || sequence >= this->next_sequence) {
    return TicketState::kNeverIssued;
  }
  if (this->read_only) {
    return this->ImportedStateOf(sequence);
  }
  const Block* block = this->FindBlock(sequence);
  if (block == nullptr) {
    return TicketState::kForgotten;
  }
  // With another roster number the same sequence would count as a second ticket.
  if (block->roster != ticket.roster) {
    return TicketState::kNeverIssued;
  }
  if (block->used[sequence - block->first]) {
    return TicketState::kUsed;
  }
  if (block->refused[sequence - block->first]) {
    return TicketState::kRefused;
  }
  return now - block->last_issued >= this->limits.valid ? TicketState::kExpired
                                                        : TicketState::kUnused;
}

bool TicketLedger::MarkUsed(const Ticket& ticket, Time now) {
  if (this->read_only || this->StateOf(ticket, now) != TicketState::kUnused) {
    return false;
  }
  Block& block = *this->FindBlock(ticket.sequence);
  block.used[ticket.sequence - block.first] = true;
  return true;
}

void TicketLedger::Refuse(const Ticket& ticket) {
  Block* block = this->FindBlock(ticket.sequence);
  if (!this->read_only && block != nullptr && block->roster == ticket.roster) {
    block->refused[ticket.sequence - block->first] = true;
  }
}

void TicketLedger::KeepAnswer(std::uint64_t sequence, std::uint64_t body_hash, Answer answer,
                              Time now) {
  answer.fresh_tickets.clear();
  this->answers.Keep(sequence, body_hash, std::move(answer), now);
}

const TicketLedger::Answers::Entry* TicketLedger::FindAnswer(std::uint64_t sequence) const {
  return this->answers.Find(sequence);
}

void TicketLedger::Expire(Time now) {
  this->answers.Expire(now);
  // Expired blocks are kept as long as answers, so that a late submission with an unused ticket can
  // be answered as "not run".
  const auto kept = this->limits.valid + this->limits.answer_kept;
  while (!this->blocks.empty() && now - this->blocks.front().last_issued >= kept) {
    this->floor = this->blocks.front().first + this->blocks.front().used.size();
    this->blocks.pop_front();
  }
}

std::vector<std::uint64_t> TicketLedger::UsedSequences() const {
  std::vector<std::uint64_t> used(this->imported_used.begin(), this->imported_used.end());
  for (const Block& block : this->blocks) {
    for (std::size_t i = 0; i < block.used.size(); ++i) {
      if (block.used[i]) {
        used.push_back(block.first + i);
      }
    }
  }
  return used;
}

std::vector<HandOver> TicketLedger::Export() const {
  HandOver common;
  common.owner = this->owner;
  common.service = this->service;
  common.next_sequence = this->next_sequence;
  common.floor = this->floor;
  std::vector<HandOver> parts{common};
  for (const std::uint64_t sequence : this->UsedSequences()) {
    if (parts.back().used.size() >= kUsedPerPart) {
      parts.push_back(common);
    }
    parts.back().used.push_back(sequence);
  }
  std::size_t bytes = 0;
  for (const std::uint64_t sequence : this->answers.Keys()) {
    const auto& entry = *this->answers.Find(sequence);
    const std::size_t size = ResultBytes(entry.answer);
    if (parts.back().answers.size() >= kAnswersPerPart || bytes + size > kResultBytesPerPart) {
      parts.push_back(common);
      bytes = 0;
    }
    bytes += size;
    parts.back().answers.push_back({sequence, entry.body_hash, entry.answer});
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part = static_cast<std::uint32_t>(i);
    parts[i].parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

bool TicketLedger::Import(const HandOver& part, Time now) {
  this->read_only = true;
  if (this->imported || (part.part != 0 && part.part < this->next_part)) {
    return true;
  }
  if (part.part > this->next_part) {
    return false;
  }
  this->next_part = part.part + 1;
  this->imported = this->next_part >= part.parts;
  this->next_sequence = std::max(this->next_sequence, part.next_sequence);
  this->floor = std::max(this->floor, part.floor);
  this->imported_used.insert(part.used.begin(), part.used.end());
  this->imported_used.erase(this->imported_used.begin(),
                            this->imported_used.lower_bound(this->floor));
  while (this->imported_used.size() > kMaxImportedUsed) {
    this->floor = *this->imported_used.begin() + 1;
    this->imported_used.erase(this->imported_used.begin());
  }
  for (const auto& kept : part.answers) {
    this->KeepAnswer(kept.sequence, kept.body_hash, kept.answer, now);
  }
  return true;
}

std::size_t TicketLedger::ImportedBytes() const {
  return this->imported_used.size() * kBytesPerUsedSequence + this->answers.TotalBytes();
}

}  // namespace quetzalvale
