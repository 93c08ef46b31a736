/// Tickets of which nothing may start any more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "core/types.h"

namespace quetzalvale {

/// A seal is never forgotten: when there are too many, more is sealed than was asked for, up to
/// all tickets of an owner and in the end of all owners. Not thread-safe.
class SealedTickets {
 public:
  struct Limits {
    /// An owner with this many salvaged tickets is gone for good.
    std::size_t tickets_per_owner = 4096;
    std::size_t tickets = 65536;
    /// With 12 failures a day this lasts for years.
    std::size_t owners = 16384;
  };

  SealedTickets() : SealedTickets(Limits()) {}
  explicit SealedTickets(Limits limits) : limits(limits) {}

  void Seal(const Ticket& ticket);
  bool IsSealed(const Ticket& ticket) const;

  /// Whether the limits forced the seal of every ticket of every owner.
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
