/// Tickets whose tasks must not start any more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "core/types.h"

namespace quetzalvale {

/// Set of sealed tickets. A seal is never removed. When a limit is exceeded, more is sealed than
/// requested: first all tickets of one owner, in the end all tickets of all owners. Not
/// thread-safe.
class SealedTickets {
 public:
  struct Limits {
    /// An owner with this many salvaged tickets will not come back.
    std::size_t tickets_per_owner = 4096;
    std::size_t tickets = 65536;
    /// Enough for years at 12 failures a day.
    std::size_t owners = 16384;
  };

  SealedTickets() : SealedTickets(Limits()) {}
  explicit SealedTickets(Limits limits) : limits(limits) {}

  /// Seals the ticket for good; may seal more, see above.
  void Seal(const Ticket& ticket);
  bool IsSealed(const Ticket& ticket) const;

  /// Whether the limits forced sealing all tickets of all owners.
  bool AllSealed() const { return this->all_sealed; }
  std::size_t Size() const { return this->tickets; }

 private:
  struct Owner {
    bool all_tickets_sealed = false;
    std::set<std::uint64_t> sequences;
  };

  void SealAllTickets(Owner& owner);
  void SealLargestOwner();

  Limits limits;
  std::size_t tickets = 0;
  std::map<Incarnation, Owner> owners;
  bool all_sealed = false;
};

}  // namespace quetzalvale
