/// HTTP server on plain sockets that can misbehave, for tests of clients.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace quetzalvale {

/// Answers each request with the next of the given raw responses; an empty response closes the
/// connection without an answer, as does having none left. Connections stay open otherwise.
class RawServer {
 public:
  /// With a pause, each response is sent in two parts: the first `first_part` bytes, by default the
  /// headers, and after the pause the rest.
  explicit RawServer(std::deque<std::string> responses,
                     std::chrono::milliseconds pause = std::chrono::milliseconds(0),
                     std::size_t first_part = 0)
      : pause(pause), first_part(first_part), responses(std::move(responses)) {
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(this->listener, 16);
    socklen_t size = sizeof address;
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->Accept(); });
  }

  ~RawServer() {
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    {
      const std::lock_guard lock(this->mutex);
      for (const int connection : this->connections) {
        shutdown(connection, SHUT_RDWR);
      }
    }
    for (auto& server : this->servers) {
      server.join();
    }
    for (const int connection : this->connections) {
      close(connection);
    }
    close(this->listener);
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  std::string Url() const { return "http://" + this->Address(); }

  /// Bodies of the requests that arrived whole.
  std::vector<std::string> Bodies() const {
    const std::lock_guard lock(this->mutex);
    return this->bodies;
  }

 private:
  void Accept() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      const std::lock_guard lock(this->mutex);
      this->connections.push_back(connection);
      this->servers.emplace_back([this, connection] { this->Serve(connection); });
    }
  }

  void Serve(int connection) {
    std::string received;
    while (true) {
      std::string body;
      if (!ReadRequest(connection, &received, &body)) {
        return;
      }
      std::string response;
      {
        const std::lock_guard lock(this->mutex);
        this->bodies.push_back(body);
        if (!this->responses.empty()) {
          response = this->responses.front();
          this->responses.pop_front();
        }
      }
      std::size_t sent = 0;
      if (this->pause.count() > 0 && !response.empty()) {
        sent = this->first_part > 0 ? this->first_part : response.find("\r\n\r\n") + 4;
        send(connection, response.data(), sent, MSG_NOSIGNAL);
        std::this_thread::sleep_for(this->pause);
      }
      send(connection, response.data() + sent, response.size() - sent, MSG_NOSIGNAL);
      if (response.empty() || response.find("Connection: close") != std::string::npos) {
        shutdown(connection, SHUT_RDWR);
        return;
      }
    }
  }

  static bool ReadRequest(int connection, std::string* received, std::string* body) {
    while (true) {
      const std::size_t head = received->find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::size_t field = received->find("Content-Length:");
        const std::size_t length =
            field < head ? std::stoul(received->substr(field + 15)) : std::size_t{0};
        if (received->size() >= head + 4 + length) {
          *body = received->substr(head + 4, length);
          received->erase(0, head + 4 + length);
          return true;
        }
      }
      char buffer[4096];
      const auto size = recv(connection, buffer, sizeof buffer, 0);
      if (size <= 0) {
        return false;
      }
      received->append(buffer, static_cast<std::size_t>(size));
    }
  }

  const std::chrono::milliseconds pause;
  const std::size_t first_part;
  int listener = -1;
  int port = 0;
  mutable std::mutex mutex;
  std::deque<std::string> responses;
  std::vector<std::string> bodies;
  std::vector<int> connections;
  std::vector<std::thread> servers;
  std::thread acceptor;
};

}  // namespace quetzalvale
