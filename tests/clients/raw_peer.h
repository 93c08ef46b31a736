/// A TCP peer whose bytes the test chooses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace quetzalvale {

/// One connection. Functions that send or wait give up after `kPatience`, which only a server that
/// is stuck reaches. Not thread-safe.
class RawPeer {
 public:
  static constexpr std::chrono::seconds kPatience{20};

  /// `address` is `IPv4:port`, `from` the loopback address that the server sees.
  explicit RawPeer(const std::string& address, const std::string& from = "127.0.0.1",
                   int receive_buffer = 0)
      : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_buffer > 0) {
      setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    // Leaves the port to connect, which finds one in far less time when many were used lately.
    const int on = 1;
    setsockopt(this->socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    sockaddr_in local{};
    local.sin_family = AF_INET;
    inet_pton(AF_INET, from.c_str(), &local.sin_addr);
    const auto* const own = reinterpret_cast<const sockaddr*>(&local);
    sockaddr_in to = local;
    const std::size_t colon = address.find(':');
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    this->open = bind(this->socket, own, sizeof(local)) == 0 &&
                 connect(this->socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
  }
  RawPeer(RawPeer&& other) noexcept
      : socket(std::exchange(other.socket, -1)), open(std::exchange(other.open, false)) {}
  RawPeer& operator=(RawPeer&&) = delete;
  ~RawPeer() {
    if (this->socket >= 0) ::close(this->socket);
  }

  /// Sends all bytes. Returns false when the server has closed the connection or takes no more.
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const std::size_t now = this->SendSome(bytes.data() + sent, bytes.size() - sent);
      if (now == 0 && !this->Wait(POLLOUT, kPatience)) this->open = false;
      if (!this->open) return false;
      sent += now;
    }
    return true;
  }

  /// Sends what the connection takes at once. `open` is false afterwards if it is closed.
  std::size_t SendSome(const char* bytes, std::size_t size) {
    const ssize_t now = ::send(this->socket, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (now < 0 && errno != EAGAIN) this->open = false;
    return static_cast<std::size_t>(std::max<ssize_t>(now, 0));
  }

  /// Returns what arrives until `enough` occurs in it or the connection ends.
  std::string ReceiveUntil(const std::string& enough) {
    std::string all;
    char buffer[4096];
    while (all.find(enough) == std::string::npos && this->Wait(POLLIN, kPatience)) {
      const ssize_t size = ::recv(this->socket, buffer, sizeof(buffer), 0);
      if (size <= 0) break;
      all.append(buffer, static_cast<std::size_t>(size));
    }
    return all;
  }

  /// Whether something has arrived that was not received yet.
  bool HasAnswer() const {
    char next = 0;
    return ::recv(this->socket, &next, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  /// Whether the server has closed or reset the connection. What it sent before is dropped.
  bool IsClosed() {
    char buffer[4096];
    ssize_t size = 0;
    while (this->open && (size = ::recv(this->socket, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
    }
    return !this->open || size == 0 || errno != EAGAIN;
  }

  bool IsOpen() const { return this->open; }

 private:
  bool Wait(std::int16_t events, std::chrono::milliseconds time) {
    pollfd waiting{this->socket, events, 0};
    return poll(&waiting, 1, static_cast<int>(time.count())) > 0;
  }

  int socket;
  bool open = false;
};

}  // namespace quetzalvale
