#include "http/connection_table.h"

#include <sys/resource.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace quetzalvale {
namespace {

bool IsReplaceable(ConnectionState state) {
  return state != ConnectionState::kHandling && state != ConnectionState::kSending;
}

}  // namespace

ConnectionTable::ConnectionTable(HttpLimits limits) : limits(limits) {}

const std::shared_ptr<ConnectionTable>& ConnectionTable::OfProcess() {
  static const auto table = std::make_shared<ConnectionTable>();
  return table;
}

void ConnectionTable::SetLimits(const HttpLimits& new_limits) {
  const std::lock_guard lock(this->mutex);
  this->limits = new_limits;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
    this->limits.connections =
        std::min<std::size_t>(this->limits.connections, descriptors.rlim_cur / 2);
  }
}

HttpLimits ConnectionTable::Limits() const {
  const std::lock_guard lock(this->mutex);
  return this->limits;
}

void ConnectionTable::SetObserver(Observer new_observer) {
  const std::lock_guard lock(this->mutex);
  this->observer = std::move(new_observer);
}

std::list<ConnectionTable::Entry>::iterator ConnectionTable::Insert(Entry entry) {
  entry.change = ++this->changes;
  entry.totals = &this->addresses[entry.address];
  if (entry.own) {
    ++this->own;
  } else {
    ++this->accepted;
    ++entry.totals->connections;
  }
  this->entries.push_back(std::move(entry));
  return std::prev(this->entries.end());
}

std::unique_ptr<ConnectionTable::Place> ConnectionTable::Add(std::uint32_t address, Evict evict) {
  const std::lock_guard lock(this->mutex);
  if (this->accepted >= this->limits.connections && !this->ReplaceLocked()) {
    this->ReportLocked(ConnectionEvent::kRefused, address);
    return nullptr;
  }
  Entry entry;
  entry.address = address;
  entry.evict = std::move(evict);
  return std::make_unique<Place>(this->shared_from_this(), this->Insert(std::move(entry)));
}

std::unique_ptr<ConnectionTable::Place> ConnectionTable::AddOwn() {
  const std::lock_guard lock(this->mutex);
  if (this->own >= this->limits.connections / 4 * 3) {
    return nullptr;
  }
  Entry entry;
  entry.own = true;
  return std::make_unique<Place>(this->shared_from_this(), this->Insert(std::move(entry)));
}

bool ConnectionTable::Replace() {
  const std::lock_guard lock(this->mutex);
  return this->ReplaceLocked();
}

bool ConnectionTable::ReplaceLocked() {
  // The address with the most connections, then idle before slow ones, then the longest unchanged.
  const auto rank = [](const Entry& entry) {
    return std::tuple(entry.totals->connections, entry.state == ConnectionState::kIdle,
                      UINT64_MAX - entry.change);
  };
  Entry* chosen = nullptr;
  for (Entry& entry : this->entries) {
    const bool candidate = !entry.own && !entry.evicted && IsReplaceable(entry.state);
    if (candidate && (chosen == nullptr || rank(entry) > rank(*chosen))) {
      chosen = &entry;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  this->EvictLocked(*chosen, ConnectionEvent::kReplaced);
  return true;
}

bool ConnectionTable::MakeRoom(Entry& entry) {
  const auto rank = [](const Entry& other) { return std::pair(other.totals->bytes, other.bytes); };
  while (this->accepted_bytes > this->AcceptedBytes()) {
    Entry* chosen = nullptr;
    for (Entry& other : this->entries) {
      const bool candidate = !other.own && !other.evicted && IsReplaceable(other.state);
      if (candidate && (chosen == nullptr || rank(other) > rank(*chosen))) {
        chosen = &other;
      }
    }
    if (chosen == nullptr || chosen == &entry) {
      // What is handled or sent already is kept.
      return !IsReplaceable(entry.state);
    }
    this->EvictLocked(*chosen, ConnectionEvent::kMemoryFull);
  }
  return true;
}

void ConnectionTable::EvictLocked(Entry& entry, ConnectionEvent event) {
  this->ReportLocked(event, entry.address);
  this->Uncount(entry);
  entry.evicted = true;
  entry.evict(event);
}

void ConnectionTable::Uncount(Entry& entry) {
  if (entry.evicted) {
    return;
  }
  if (entry.own) {
    --this->own;
    this->own_bytes -= entry.bytes;
    return;
  }
  this->SetState(entry, ConnectionState::kIdle);
  --this->accepted;
  --entry.totals->connections;
  this->accepted_bytes -= entry.bytes;
  entry.totals->bytes -= entry.bytes;
  if (entry.totals->connections == 0) {
    this->addresses.erase(entry.address);
  }
}

void ConnectionTable::SetState(Entry& entry, ConnectionState state) {
  const bool was_handled = entry.state == ConnectionState::kHandling;
  const bool is_handled = state == ConnectionState::kHandling;
  if (is_handled && !was_handled) {
    ++entry.totals->handled;
    entry.totals->handled_bytes += entry.bytes;
  } else if (was_handled && !is_handled) {
    --entry.totals->handled;
    entry.totals->handled_bytes -= entry.bytes;
  }
  entry.state = state;
  entry.change = ++this->changes;
}

std::size_t ConnectionTable::OpenConnections() const {
  const std::lock_guard lock(this->mutex);
  return this->accepted + this->own;
}

std::size_t ConnectionTable::HeldBytes() const {
  const std::lock_guard lock(this->mutex);
  return this->accepted_bytes + this->own_bytes;
}

void ConnectionTable::Report(ConnectionEvent event, std::uint32_t address) {
  const std::lock_guard lock(this->mutex);
  this->ReportLocked(event, address);
}

void ConnectionTable::ReportLocked(ConnectionEvent event, std::uint32_t address) {
  ++this->counts[static_cast<std::size_t>(event)];
  if (this->observer) {
    this->observer(event, address);
  }
}

ConnectionTable::Counts ConnectionTable::Reported() const {
  const std::lock_guard lock(this->mutex);
  return this->counts;
}

ConnectionTable::Place::Place(std::shared_ptr<ConnectionTable> table,
                              std::list<Entry>::iterator entry)
    : table(std::move(table)), entry(entry) {}

ConnectionTable::Place::~Place() {
  const std::lock_guard lock(this->table->mutex);
  this->table->Uncount(*this->entry);
  this->table->entries.erase(this->entry);
}

bool ConnectionTable::Place::Enter(ConnectionState state) {
  const std::lock_guard lock(this->table->mutex);
  if (this->entry->evicted) {
    return false;
  }
  const Address& totals = *this->entry->totals;
  if (state == ConnectionState::kHandling && totals.handled > 0 &&
      (totals.handled >= this->table->limits.connections / 2 ||
       totals.handled_bytes + this->entry->bytes > this->table->AcceptedBytes() / 2)) {
    this->table->ReportLocked(ConnectionEvent::kMemoryFull, this->entry->address);
    return false;
  }
  this->table->SetState(*this->entry, state);
  return true;
}

bool ConnectionTable::Place::Resize(std::size_t bytes) {
  const std::lock_guard lock(this->table->mutex);
  Entry& resized = *this->entry;
  if (resized.evicted) {
    return false;
  }
  const bool grows = bytes > resized.bytes;
  if (resized.own) {
    this->table->own_bytes += bytes - resized.bytes;
    resized.bytes = bytes;
    return !grows || this->table->own_bytes <= this->table->limits.total_bytes / 4;
  }
  this->table->accepted_bytes += bytes - resized.bytes;
  resized.totals->bytes += bytes - resized.bytes;
  if (resized.state == ConnectionState::kHandling) {
    resized.totals->handled_bytes += bytes - resized.bytes;
  }
  resized.bytes = bytes;
  return !grows || this->table->MakeRoom(resized);
}

}  // namespace quetzalvale
