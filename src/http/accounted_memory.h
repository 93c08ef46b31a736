/// Memory of connections that is counted in the ConnectionTable.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "http/connection_table.h"

namespace quetzalvale {

/// Largest headers of a message. Well above those of every well-behaved peer (16,384 bytes), and
/// low, because a header of a few bytes takes twenty times as much memory.
inline constexpr std::size_t kMaxHeaderBytes = 32U << 10U;
/// The buffer also holds trailers and the extension of a chunk until their end arrives, which the
/// limit on headers does not cover. Larger than kMaxHeaderBytes, so that headers reach theirs
/// first.
inline constexpr std::size_t kMaxBufferBytes = kMaxHeaderBytes + (4U << 10U);

/// Counts the memory of one connection. Tells the table in steps, because most requests stay within
/// the first one and then need no lock. Not thread-safe.
class ByteAccount {
 public:
  static constexpr std::size_t kStep = 4096;

  ByteAccount(ConnectionTable::Place& place, std::size_t limit) : place(place), limit(limit) {
    this->has_room = place.Resize(kStep);
  }

  void Add(std::size_t bytes) {
    this->held += bytes;
    if (this->held > this->reported) this->Report();
  }

  void Remove(std::size_t bytes) {
    this->held -= bytes;
    if (this->held + 4 * kStep < this->reported) this->Report();
  }

  /// The connection was evicted.
  void Revoke() { this->has_room = false; }

  /// Whether the connection stays below its own limit.
  bool IsWithinLimit() const { return this->held <= this->limit; }
  /// Whether the process has room for the connection.
  bool HasRoom() const { return this->has_room; }

 private:
  void Report() {
    this->reported = (this->held / kStep + 1) * kStep;
    this->has_room = this->place.Resize(this->reported);
  }

  ConnectionTable::Place& place;
  std::size_t limit;
  std::size_t held = 0;
  std::size_t reported = kStep;
  bool has_room = true;
};

/// Allocator of a connection's buffer and headers. Never refuses: both have limits of their own,
/// and the table evicts a connection when there is no room for them.
template <typename T>
class AccountedAllocator {
 public:
  using value_type = T;
  using propagate_on_container_move_assignment = std::true_type;
  using propagate_on_container_copy_assignment = std::true_type;
  using propagate_on_container_swap = std::true_type;
  using is_always_equal = std::false_type;

  explicit AccountedAllocator(ByteAccount& account) : account(&account) {}
  template <typename U>
  AccountedAllocator(const AccountedAllocator<U>& other)  // NOLINT(google-explicit-constructor)
      : account(other.account) {}

  T* allocate(std::size_t count) {  // NOLINT(readability-identifier-naming)
    this->account->Add(count * sizeof(T));
    return std::allocator<T>().allocate(count);
  }
  void deallocate(T* memory, std::size_t count) {  // NOLINT(readability-identifier-naming)
    this->account->Remove(count * sizeof(T));
    std::allocator<T>().deallocate(memory, count);
  }

  template <typename U>
  bool operator==(const AccountedAllocator<U>& other) const {
    return this->account == other.account;
  }
  template <typename U>
  bool operator!=(const AccountedAllocator<U>& other) const {
    return this->account != other.account;
  }

  ByteAccount* account;
};

using AccountedBuffer = boost::beast::basic_flat_buffer<AccountedAllocator<char>>;
using AccountedFields = boost::beast::http::basic_fields<AccountedAllocator<char>>;

/// Memory that is counted until the object is destroyed.
class HeldBytes {
 public:
  explicit HeldBytes(ByteAccount& account) : account(&account) {}
  HeldBytes(HeldBytes&& other) noexcept
      : account(other.account), bytes(std::exchange(other.bytes, 0)) {}
  HeldBytes& operator=(HeldBytes&& other) noexcept {
    std::swap(this->account, other.account);
    std::swap(this->bytes, other.bytes);
    return *this;
  }
  ~HeldBytes() { this->Set(0); }

  void Set(std::size_t new_bytes) {
    const std::size_t old_bytes = std::exchange(this->bytes, new_bytes);
    if (new_bytes > old_bytes) {
      this->account->Add(new_bytes - old_bytes);
    } else if (new_bytes < old_bytes) {
      this->account->Remove(old_bytes - new_bytes);
    }
  }
  std::size_t Size() const { return this->bytes; }
  const ByteAccount& Account() const { return *this->account; }

 private:
  ByteAccount* account;
  std::size_t bytes = 0;
};

/// Body of a message for Beast. Unlike Beast's own, takes memory only for what has arrived.
struct AccountedBody {
  struct value_type {  // NOLINT(readability-identifier-naming)
    explicit value_type(ByteAccount* account) : held(*account) {}
    std::string text;
    HeldBytes held;
  };

  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>& /*header*/, value_type& body)
        : body(body) {}

    void init(const boost::optional<std::uint64_t>& announced,  // NOLINT
              boost::beast::error_code& error) {
      this->expected = announced ? static_cast<std::size_t>(*announced) : 0;
      error = {};
    }

    /// Fails with body_limit beyond the connection's limit, and with no_buffer_space if the process
    /// has no room.
    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {  // NOLINT
      const std::size_t size = boost::asio::buffer_size(buffers);
      std::string& text = this->body.text;
      const std::size_t needed = text.size() + size;
      // As long as data keeps coming, a read under way does not notice that it was cancelled.
      if (!this->body.held.Account().HasRoom()) {
        error = boost::asio::error::no_buffer_space;
        return 0;
      }
      if (needed > text.capacity()) {
        // Doubles, but not beyond the announced length.
        const std::size_t doubled = 2 * text.capacity();
        const std::size_t capacity =
            std::max(needed, this->expected > 0 ? std::min(doubled, this->expected) : doubled);
        this->body.held.Set(capacity);
        if (!this->body.held.Account().IsWithinLimit()) {
          error = boost::beast::http::error::body_limit;
          return 0;
        }
        if (!this->body.held.Account().HasRoom()) {
          error = boost::asio::error::no_buffer_space;
          return 0;
        }
        text.reserve(capacity);
      }
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      error = {};
      return size;
    }

    void finish(boost::beast::error_code& error) { error = {}; }  // NOLINT

   private:
    value_type& body;
    std::size_t expected = 0;
  };

  static std::uint64_t size(const value_type& body) { return body.text.size(); }  // NOLINT
};

}  // namespace quetzalvale
