#include "scenario/port_block.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace quetzalvale {
namespace {

constexpr int kFirstPort = 20000;
constexpr int kBlockPorts = 200;
constexpr int kBlocks = 60;

/// Whether a process could listen on the port now.
bool CanListen(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return bound;
}

}  // namespace

PortBlock::PortBlock() {
  const auto folder = std::filesystem::temp_directory_path();
  for (int block = 0; block < kBlocks; ++block) {
    const auto path = folder / ("quetzalvale-ports-" + std::to_string(block));
    const int descriptor = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (descriptor >= 0 && flock(descriptor, LOCK_EX | LOCK_NB) == 0) {
      this->lock_file = descriptor;
      this->next = kFirstPort + block * kBlockPorts;
      this->end = this->next + kBlockPorts;
      return;
    }
    if (descriptor >= 0) {
      close(descriptor);
    }
  }
  throw std::runtime_error("all blocks of ports are taken; run fewer scenarios at once");
}

PortBlock::~PortBlock() { close(this->lock_file); }

std::uint16_t PortBlock::Next() {
  while (this->next < this->end) {
    const int port = this->next++;
    if (CanListen(port)) {
      return static_cast<std::uint16_t>(port);
    }
  }
  throw std::runtime_error("the scenario's block of " + std::to_string(kBlockPorts) +
                           " ports is used up; start fewer processes");
}

}  // namespace quetzalvale
