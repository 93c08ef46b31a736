/// TCP relays through which a scenario cuts links between processes.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "scenario/link_table.h"

namespace quetzalvale {

/// Relays on loopback, all served by one thread. Bytes in a cut direction are held back, and
/// delivered late once the direction is restored, as a network does that loses packets for a while.
/// Public functions are thread-safe.
class RelayHub {
 public:
  /// Returns the name of the process that opened the connection from `client_port` to `relay_port`,
  /// or an empty string. Called on the relay thread.
  using NameClient =
      std::function<std::string(std::uint16_t client_port, std::uint16_t relay_port)>;

  RelayHub(LinkTable& links, NameClient name_client);
  ~RelayHub();
  RelayHub(const RelayHub&) = delete;
  RelayHub& operator=(const RelayHub&) = delete;

  /// Listens on relay_port and connects to target_port, where the process `target` listens. Throws
  /// std::runtime_error when the port cannot be bound.
  void Add(std::uint16_t relay_port, std::uint16_t target_port, const std::string& target);

 private:
  struct Relay {
    int listener = -1;
    std::uint16_t relay_port = 0;
    std::uint16_t target_port = 0;
    std::string target;
  };
  /// One direction of a connection.
  struct Stream {
    int source = -1;
    int sink = -1;
    std::string from;
    std::string to;
    /// Bytes read and not yet written.
    std::string pending;
    bool ended = false;
    /// Delayed until the direction is released.
    bool held = false;
    /// From the process that connected. Only these are held.
    bool is_request = false;
  };
  struct Connection {
    Stream request;
    Stream reply;
    bool broken = false;
    /// Resets of the link when the connection was opened.
    std::uint64_t resets = 0;
  };

  void Run();
  std::vector<Relay> CopyRelays() const;
  void Accept(const Relay& relay);
  bool IsMovable(const Stream& stream) const;
  /// Moves what can be moved without blocking. Returns false when the connection broke.
  bool Move(Stream& stream) const;
  static bool Read(Stream& stream);
  static bool Write(Stream& stream);
  static void CloseConnection(Connection& connection);

  LinkTable& links;
  NameClient name_client;
  mutable std::mutex mutex;
  std::vector<Relay> relays;
  /// Used by the relay thread only.
  std::list<Connection> connections;
  std::atomic<bool> stopped = false;
  std::thread thread;
};

}  // namespace quetzalvale
