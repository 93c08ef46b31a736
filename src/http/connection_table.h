/// Limits on what peers can make one process hold.
#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace quetzalvale {

/// The defaults fit the smallest machine: 160 MB and 4,100 descriptors at an entry, 128 MB and
/// 4,096 descriptors at an agent, of which 64 MB are for the process itself. Well-behaved peers
/// send headers of up to 16,384 bytes within 3 s, bodies of up to 4 MiB, and are idle for up to 15
/// s.
struct HttpLimits {
  /// Accepted connections. The process's own are limited to three quarters as many.
  std::size_t connections = 2048;
  /// Memory that one connection may take.
  std::size_t connection_bytes = 8U << 20U;
  /// Memory of all connections. Three quarters are for accepted connections.
  std::size_t total_bytes = 32U << 20U;
  /// From the first byte of a request to the end of its headers.
  std::chrono::milliseconds header{5000};
  /// For the body of a request, and again for the response.
  std::chrono::milliseconds transfer{30000};
  /// Without a request.
  std::chrono::milliseconds idle{60000};
};

/// Why a connection was refused or closed, or a request was refused.
enum class ConnectionEvent : std::uint8_t {
  /// The table is full and no connection in it can be replaced.
  kRefused,
  kReplaced,
  /// The process has no descriptor for a new connection.
  kDescriptorsFull,
  kHeaderLate,
  kTransferLate,
  kIdle,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  /// The memory of all connections is used up.
  kMemoryFull,
  /// A server that this process called sent too much.
  kAnswerTooLarge,
  kCount
};

enum class ConnectionState : std::uint8_t {
  /// Waits for a request, or for the peer to close.
  kIdle,
  kReceiving,
  kHandling,
  kSending,
  /// The peer does not take its response.
  kSendingSlowly
};

/// All connections of one process: their number, their memory and which of them give way. When the
/// table is full, a new connection replaces an idle or slow one of the address with the most
/// connections. Thread-safe.
class ConnectionTable : public std::enable_shared_from_this<ConnectionTable> {
 private:
  struct Entry;

 public:
  /// Asks the owner of a connection to close it at once. Called on any thread, with the table
  /// locked, so it must only post. The connection no longer counts.
  using Evict = std::function<void(ConnectionEvent)>;
  /// Told of each event, with the peer's IPv4 address in host order. Must not call the table.
  using Observer = std::function<void(ConnectionEvent, std::uint32_t address)>;
  using Counts = std::array<std::uint64_t, static_cast<std::size_t>(ConnectionEvent::kCount)>;

  /// The place of one connection in the table, which is free again after its destruction.
  class Place {
   public:
    Place(std::shared_ptr<ConnectionTable> table, std::list<Entry>::iterator entry);
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    /// Returns false if the connection was evicted, or if it enters kHandling while its address has
    /// half of all connections or half of the memory in that state: a request that is handled
    /// cannot give way, so one address must not take all room in this way.
    bool Enter(ConnectionState state);

    /// Sets the memory that the connection takes. Returns false if the connection was evicted, or
    /// is receiving and there is no room.
    bool Resize(std::size_t bytes);

   private:
    std::shared_ptr<ConnectionTable> table;
    std::list<Entry>::iterator entry;
  };

  explicit ConnectionTable(HttpLimits limits = {});

  /// The table that all servers and clients of the process share.
  static const std::shared_ptr<ConnectionTable>& OfProcess();

  /// Call before the first server starts. The number of connections is reduced if the process may
  /// not open twice as many descriptors.
  void SetLimits(const HttpLimits& new_limits);
  HttpLimits Limits() const;
  void SetObserver(Observer new_observer);

  /// Adds an accepted connection. Returns nothing if the table is full and none can be replaced.
  std::unique_ptr<Place> Add(std::uint32_t address, Evict evict);
  /// Adds a connection that this process opens; it is never evicted. Returns nothing if there are
  /// too many.
  std::unique_ptr<Place> AddOwn();

  /// Evicts one connection, because descriptors are short. Returns false if none can be replaced.
  bool Replace();

  /// Connections and their memory, except for those that were evicted.
  std::size_t OpenConnections() const;
  std::size_t HeldBytes() const;

  void Report(ConnectionEvent event, std::uint32_t address);
  Counts Reported() const;

 private:
  struct Address {
    std::size_t connections = 0;
    std::size_t bytes = 0;
    std::size_t handled = 0;
    std::size_t handled_bytes = 0;
  };
  struct Entry {
    Address* totals = nullptr;
    std::uint32_t address = 0;
    ConnectionState state = ConnectionState::kIdle;
    std::size_t bytes = 0;
    bool evicted = false;
    bool own = false;
    Evict evict{};
    /// Of the last change of state.
    std::uint64_t change = 0;
  };

  std::list<Entry>::iterator Insert(Entry entry);
  bool ReplaceLocked();
  /// Makes room for the bytes of `entry`. Returns false if the entry itself has to give way.
  bool MakeRoom(Entry& entry);
  void EvictLocked(Entry& entry, ConnectionEvent event);
  void Uncount(Entry& entry);
  void SetState(Entry& entry, ConnectionState state);
  void ReportLocked(ConnectionEvent event, std::uint32_t address);
  std::size_t AcceptedBytes() const { return this->limits.total_bytes / 4 * 3; }

  mutable std::mutex mutex;
  HttpLimits limits;
  Observer observer;
  Counts counts{};
  std::list<Entry> entries;
  std::unordered_map<std::uint32_t, Address> addresses;
  /// Of the connections that were not evicted.
  std::size_t accepted = 0;
  std::size_t accepted_bytes = 0;
  std::size_t own = 0;
  std::size_t own_bytes = 0;
  std::uint64_t changes = 0;
};

// Defined inline, as the stand-ins of review/ are built from a fixed list of sources.
inline bool IsReplaceable(ConnectionState state) {
  return state != ConnectionState::kHandling && state != ConnectionState::kSending;
}

inline ConnectionTable::ConnectionTable(HttpLimits limits) : limits(limits) {}

inline const std::shared_ptr<ConnectionTable>& ConnectionTable::OfProcess() {
  static const auto table = std::make_shared<ConnectionTable>();
  return table;
}

inline void ConnectionTable::SetLimits(const HttpLimits& new_limits) {
  const std::lock_guard lock(this->mutex);
  this->limits = new_limits;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
    this->limits.connections =
        std::min<std::size_t>(this->limits.connections, descriptors.rlim_cur / 2);
  }
}

inline HttpLimits ConnectionTable::Limits() const {
  const std::lock_guard lock(this->mutex);
  return this->limits;
}

inline void ConnectionTable::SetObserver(Observer new_observer) {
  const std::lock_guard lock(this->mutex);
  this->observer = std::move(new_observer);
}

inline std::list<ConnectionTable::Entry>::iterator ConnectionTable::Insert(Entry entry) {
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

inline std::unique_ptr<ConnectionTable::Place> ConnectionTable::Add(std::uint32_t address,
                                                                    Evict evict) {
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

inline std::unique_ptr<ConnectionTable::Place> ConnectionTable::AddOwn() {
  const std::lock_guard lock(this->mutex);
  if (this->own >= this->limits.connections / 4 * 3) {
    return nullptr;
  }
  Entry entry;
  entry.own = true;
  return std::make_unique<Place>(this->shared_from_this(), this->Insert(std::move(entry)));
}

inline bool ConnectionTable::Replace() {
  const std::lock_guard lock(this->mutex);
  return this->ReplaceLocked();
}

inline bool ConnectionTable::ReplaceLocked() {
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

inline bool ConnectionTable::MakeRoom(Entry& entry) {
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

inline void ConnectionTable::EvictLocked(Entry& entry, ConnectionEvent event) {
  this->ReportLocked(event, entry.address);
  this->Uncount(entry);
  entry.evicted = true;
  entry.evict(event);
}

inline void ConnectionTable::Uncount(Entry& entry) {
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

inline void ConnectionTable::SetState(Entry& entry, ConnectionState state) {
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

inline std::size_t ConnectionTable::OpenConnections() const {
  const std::lock_guard lock(this->mutex);
  return this->accepted + this->own;
}

inline std::size_t ConnectionTable::HeldBytes() const {
  const std::lock_guard lock(this->mutex);
  return this->accepted_bytes + this->own_bytes;
}

inline void ConnectionTable::Report(ConnectionEvent event, std::uint32_t address) {
  const std::lock_guard lock(this->mutex);
  this->ReportLocked(event, address);
}

inline void ConnectionTable::ReportLocked(ConnectionEvent event, std::uint32_t address) {
  ++this->counts[static_cast<std::size_t>(event)];
  if (this->observer) {
    this->observer(event, address);
  }
}

inline ConnectionTable::Counts ConnectionTable::Reported() const {
  const std::lock_guard lock(this->mutex);
  return this->counts;
}

inline ConnectionTable::Place::Place(std::shared_ptr<ConnectionTable> table,
                                     std::list<Entry>::iterator entry)
    : table(std::move(table)), entry(entry) {}

inline ConnectionTable::Place::~Place() {
  const std::lock_guard lock(this->table->mutex);
  this->table->Uncount(*this->entry);
  this->table->entries.erase(this->entry);
}

inline bool ConnectionTable::Place::Enter(ConnectionState state) {
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

inline bool ConnectionTable::Place::Resize(std::size_t bytes) {
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
