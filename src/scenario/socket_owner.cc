#include "scenario/socket_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <system_error>
#include <utility>

namespace quetzalvale {
namespace {

/// Returns the form that /proc/net/tcp gives to a loopback address.
std::string LoopbackText(std::uint16_t port) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "0100007F:%04X", static_cast<unsigned>(port));
  return text.data();
}

std::string LinkOf(const std::string& inode) { return "socket:[" + inode + "]"; }

/// A request for one IPv4 connection, as the kernel's socket diagnosis reads it.
struct DiagnosisRequest {
  nlmsghdr header{};
  inet_diag_req_v2 body{};
};

DiagnosisRequest MakeRequest(std::uint16_t local_port, std::uint16_t remote_port) {
  DiagnosisRequest request;
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = ~0U;
  inet_diag_sockid& connection = request.body.id;
  connection.idiag_sport = htons(local_port);
  connection.idiag_dport = htons(remote_port);
  connection.idiag_src[0] = htonl(INADDR_LOOPBACK);
  connection.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  connection.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  connection.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return request;
}

/// Asks the kernel for one connection. Reading its table instead takes a third of a second when the
/// tests have left thousands of closed connections there, and a relay waits for it. Returns nothing
/// when the kernel does not answer such questions; an empty text when there is no such connection.
std::optional<std::string> AskForSocketLink(std::uint16_t local_port, std::uint16_t remote_port) {
  const int netlink = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (netlink < 0) {
    return std::nullopt;
  }
  const DiagnosisRequest request = MakeRequest(local_port, remote_port);
  struct {
    nlmsghdr header{};
    inet_diag_msg body{};
    std::array<char, 512> rest{};
  } answer;
  const bool sent = send(netlink, &request, sizeof(request), 0) == sizeof(request);
  const ssize_t received = sent ? recv(netlink, &answer, sizeof(answer), 0) : -1;
  close(netlink);
  if (received < static_cast<ssize_t>(sizeof(nlmsghdr))) {
    return std::nullopt;
  }
  if (answer.header.nlmsg_type != SOCK_DIAG_BY_FAMILY || answer.body.idiag_inode == 0) {
    return "";
  }
  return LinkOf(std::to_string(answer.body.idiag_inode));
}

/// Returns `socket:[inode]`, or an empty string when there is no such connection.
std::string FindSocketLink(std::uint16_t local_port, std::uint16_t remote_port) {
  if (auto link = AskForSocketLink(local_port, remote_port)) {
    return *std::move(link);
  }
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
      return LinkOf(inode);
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
