#include "scenario/socket_owner.h"

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace quetzalvale {
namespace {

/// Returns the form that /proc/net/tcp gives to a loopback address.
std::string LoopbackText(std::uint16_t port) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "0100007F:%04X", static_cast<unsigned>(port));
  return text.data();
}

/// Returns `socket:[inode]`, or an empty string when there is no such connection.
std::string FindSocketLink(std::uint16_t local_port, std::uint16_t remote_port) {
  const std::string wanted_local = LoopbackText(local_port);
  const std::string wanted_remote = LoopbackText(remote_port);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string skipped;
    std::string local;
    std::string remote;
    std::string inode;
    fields >> skipped >> local >> remote;
    for (int column = 0; column < 6; ++column) {
      fields >> skipped;
    }
    fields >> inode;
    if (local == wanted_local && remote == wanted_remote) {
      return "socket:[" + inode + "]";
    }
  }
  return "";
}

bool HoldsSocket(pid_t process, const std::string& link) {
  namespace fs = std::filesystem;
  std::error_code error;
  const fs::path folder = "/proc/" + std::to_string(process) + "/fd";
  for (fs::directory_iterator file(folder, error); !error && file != fs::directory_iterator();
       file.increment(error)) {
    std::error_code link_error;
    if (fs::read_symlink(file->path(), link_error) == link) {
      return true;
    }
  }
  return false;
}

}  // namespace

pid_t FindSocketOwner(std::uint16_t local_port, std::uint16_t remote_port,
                      std::span<const pid_t> processes) {
  const std::string link = FindSocketLink(local_port, remote_port);
  if (link.empty()) {
    return 0;
  }
  for (const pid_t process : processes) {
    if (HoldsSocket(process, link)) {
      return process;
    }
  }
  return 0;
}

}  // namespace quetzalvale
