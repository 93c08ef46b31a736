#include "scenario/relay_hub.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace quetzalvale {
namespace {

/// Cuts and new relays take effect within this time.
constexpr int kPollMs = 5;
constexpr std::size_t kChunkBytes = 65536;
/// The kernel's table of connections is not read at one moment, so a connection may be missing from
/// one reading while others are opened and closed.
constexpr int kNameTries = 5;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

void SetOptions(int descriptor) {
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

RelayHub::RelayHub(LinkTable& links, NameClient name_client)
    : links(links), name_client(std::move(name_client)) {
  this->thread = std::thread([this] { this->Run(); });
}

RelayHub::~RelayHub() {
  this->stopped = true;
  this->thread.join();
  for (Connection& connection : this->connections) {
    CloseConnection(connection);
  }
  for (const Relay& relay : this->relays) {
    close(relay.listener);
  }
}

void RelayHub::Add(std::uint16_t relay_port, std::uint16_t target_port, const std::string& target) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = Loopback(relay_port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    close(listener);
    throw std::runtime_error("relay port " + std::to_string(relay_port) +
                             " is in use; take another one with free_port()");
  }
  const std::lock_guard lock(this->mutex);
  this->relays.push_back({listener, relay_port, target_port, target});
}

std::vector<RelayHub::Relay> RelayHub::CopyRelays() const {
  const std::lock_guard lock(this->mutex);
  return this->relays;
}

void RelayHub::Run() {
  while (!this->stopped) {
    const std::vector<Relay> current = this->CopyRelays();
    std::vector<pollfd> waits;
    waits.reserve(current.size() + 2 * this->connections.size());
    for (const Relay& relay : current) {
      waits.push_back({relay.listener, POLLIN, 0});
    }
    for (const Connection& connection : this->connections) {
      for (const Stream* stream : {&connection.request, &connection.reply}) {
        if (this->IsMovable(*stream)) {
          const bool writing = !stream->pending.empty();
          waits.push_back({writing ? stream->sink : stream->source,
                           static_cast<short>(writing ? POLLOUT : POLLIN), 0});
        }
      }
    }
    poll(waits.data(), waits.size(), kPollMs);
    for (const Relay& relay : current) {
      this->Accept(relay);
    }
    for (Connection& connection : this->connections) {
      const Stream& request = connection.request;
      const bool reset = this->links.Resets(request.from, request.to) != connection.resets;
      const bool intact = !reset && this->Move(connection.request) && this->Move(connection.reply);
      connection.broken = !intact;
    }
    this->connections.remove_if([](Connection& connection) {
      const bool over = connection.broken || (connection.request.ended && connection.reply.ended);
      if (over) {
        CloseConnection(connection);
      }
      return over;
    });
  }
}

void RelayHub::Accept(const Relay& relay) {
  sockaddr_in client_address{};
  socklen_t length = sizeof(client_address);
  const int client =
      accept4(relay.listener, reinterpret_cast<sockaddr*>(&client_address), &length, SOCK_CLOEXEC);
  if (client < 0) {
    return;
  }
  std::string name;
  for (int attempt = 0; attempt < kNameTries && name.empty(); ++attempt) {
    name = this->name_client(ntohs(client_address.sin_port), relay.relay_port);
  }
  if (name.empty()) {
    // Its owner has closed it already. What it sent would pass every cut.
    close(client);
    return;
  }
  // Before the target knows of the connection, so that a reset from then on counts for it.
  const std::uint64_t resets = this->links.Resets(name, relay.target);
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = Loopback(relay.target_port);
  // A loopback connect to a live or dead listener returns at once.
  if (connect(server, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
    close(server);
    close(client);
    return;
  }
  SetOptions(client);
  SetOptions(server);
  Connection connection;
  connection.request = {client, server, name, relay.target, "", false};
  connection.request.is_request = true;
  connection.resets = resets;
  connection.reply = {server, client, relay.target, name, "", false};
  this->connections.push_back(std::move(connection));
}

bool RelayHub::IsMovable(const Stream& stream) const {
  return !stream.ended && !stream.held && !this->links.IsCut(stream.from, stream.to);
}

bool RelayHub::Move(Stream& stream) const {
  if (stream.held) {
    stream.held = this->links.IsHolding(stream.from, stream.to);
  }
  if (stream.ended || stream.held) {
    return true;
  }
  if (stream.pending.empty()) {
    if (!this->links.IfOpen(stream.from, stream.to, [&stream] { return Read(stream); })) {
      return false;
    }
    // Decided on what was read: bytes that arrive after an earlier look would pass unheld.
    stream.held = stream.is_request && !stream.pending.empty() &&
                  this->links.TakeHold(stream.from, stream.to);
    if (stream.held || stream.pending.empty()) {
      return true;
    }
  }
  return this->links.IfOpen(stream.from, stream.to, [&stream] { return Write(stream); });
}

bool RelayHub::Read(Stream& stream) {
  std::array<char, kChunkBytes> chunk;
  const ssize_t count = read(stream.source, chunk.data(), chunk.size());
  if (count < 0) {
    return WouldBlock();
  }
  if (count == 0) {
    stream.ended = true;
    shutdown(stream.sink, SHUT_WR);
    return true;
  }
  stream.pending.assign(chunk.data(), static_cast<std::size_t>(count));
  return true;
}

bool RelayHub::Write(Stream& stream) {
  const ssize_t written =
      send(stream.sink, stream.pending.data(), stream.pending.size(), MSG_NOSIGNAL);
  if (written < 0) {
    return WouldBlock();
  }
  stream.pending.erase(0, static_cast<std::size_t>(written));
  return true;
}

void RelayHub::CloseConnection(Connection& connection) {
  close(connection.request.source);
  close(connection.request.sink);
}

}  // namespace quetzalvale
