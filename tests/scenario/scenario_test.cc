/// Tests of the scenario runner's parts; whole scripts are run by ctest from scenarios/.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "scenario/child_process.h"
#include "scenario/lua_script.h"
#include "scenario/port_block.h"
#include "scenario/relay_hub.h"
#include "scenario/socket_owner.h"
#include "scenario/work_folder.h"

namespace quetzalvale {
namespace {

using testing::HasSubstr;

constexpr std::chrono::seconds kLimit(60);

/// Guards against processes that outlive their scenario.
TEST(ChildProcessTest, DestructionEndsAFrozenProcess) {
  const WorkFolder folder;
  pid_t id = 0;
  {
    ChildProcess child({"/bin/sleep", "1000"}, folder.Path("child.log"));
    id = child.Id();
    child.Signal(SIGSTOP);
    EXPECT_EQ(child.WaitForExit(std::chrono::milliseconds(1)), std::nullopt);
  }
  EXPECT_EQ(kill(id, 0), -1);
}

/// Guards against a crash that passes for a planned stop.
TEST(ChildProcessTest, TellsSignalsFromExitCodes) {
  const WorkFolder folder;
  ChildProcess failing({"/bin/false"}, folder.Path("child.log"));
  EXPECT_EQ(failing.WaitForExit(kLimit), 1);
  ChildProcess killed({"/bin/sleep", "1000"}, folder.Path("child.log"));
  killed.Signal(SIGKILL);
  EXPECT_EQ(killed.WaitForExit(kLimit), -SIGKILL);
}

/// Guards against two scenarios that run at once and take the same port.
TEST(PortBlockTest, BlocksDoNotOverlap) {
  PortBlock first;
  PortBlock second;
  EXPECT_NE(first.Next() / 200, second.Next() / 200);
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int Listen(std::uint16_t port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  // Connections of an earlier run may still hold the port in TIME_WAIT.
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = Loopback(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 1) != 0) {
    throw std::runtime_error("port " + std::to_string(port) + " cannot be listened on");
  }
  return listener;
}

int Connect(std::uint16_t port) {
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  EXPECT_EQ(connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  return client;
}

char ReadByte(int descriptor) {
  char byte = 0;
  EXPECT_EQ(read(descriptor, &byte, 1), 1);
  return byte;
}

/// Guards against a cut that loses bytes for good, or that also cuts the other direction. The byte
/// sent back through the open direction shows that the relay has run meanwhile.
TEST(RelayHubTest, HoldsBackOnlyTheCutDirection) {
  PortBlock ports;
  const std::uint16_t server_port = ports.Next();
  const std::uint16_t relay_port = ports.Next();
  const int listener = Listen(server_port);
  LinkTable links;
  RelayHub hub(links, [](std::uint16_t, std::uint16_t) { return "client"; });
  hub.Add(relay_port, server_port, "server");
  const int client = Connect(relay_port);
  const int server = accept(listener, nullptr, nullptr);
  links.Cut("client", "server");
  EXPECT_EQ(send(client, "a", 1, 0), 1);
  EXPECT_EQ(send(server, "b", 1, 0), 1);
  EXPECT_EQ(ReadByte(client), 'b');
  char byte = 0;
  EXPECT_EQ(recv(server, &byte, 1, MSG_DONTWAIT), -1);
  links.Restore("client", "server");
  EXPECT_EQ(ReadByte(server), 'a');
  close(client);
  close(server);
  close(listener);
}

/// Guards against a hold that also delays later messages, so that a delayed start could not be
/// overtaken by its withdrawal.
TEST(RelayHubTest, HoldsOneMessageWhileOthersPass) {
  PortBlock ports;
  const std::uint16_t server_port = ports.Next();
  const std::uint16_t relay_port = ports.Next();
  const int listener = Listen(server_port);
  LinkTable links;
  RelayHub hub(links, [](std::uint16_t, std::uint16_t) { return "client"; });
  hub.Add(relay_port, server_port, "server");
  links.Hold("client", "server");
  const int first = Connect(relay_port);
  const int first_server = accept(listener, nullptr, nullptr);
  EXPECT_EQ(send(first, "a", 1, 0), 1);
  while (!links.IsHolding("client", "server")) {
    std::this_thread::yield();
  }
  const int second = Connect(relay_port);
  const int second_server = accept(listener, nullptr, nullptr);
  EXPECT_EQ(send(second, "b", 1, 0), 1);
  EXPECT_EQ(ReadByte(second_server), 'b');
  char byte = 0;
  EXPECT_EQ(recv(first_server, &byte, 1, MSG_DONTWAIT), -1);
  links.Release("client", "server");
  EXPECT_EQ(ReadByte(first_server), 'a');
  for (const int descriptor : {first, first_server, second, second_server, listener}) {
    close(descriptor);
  }
}

/// Guards against a reset that leaves the connection open, or that also breaks later ones.
TEST(RelayHubTest, ResetBreaksOffTheOpenConnectionsOnly) {
  PortBlock ports;
  const std::uint16_t server_port = ports.Next();
  const std::uint16_t relay_port = ports.Next();
  const int listener = Listen(server_port);
  LinkTable links;
  RelayHub hub(links, [](std::uint16_t, std::uint16_t) { return "client"; });
  hub.Add(relay_port, server_port, "server");
  const int first = Connect(relay_port);
  const int first_server = accept(listener, nullptr, nullptr);
  links.Reset("client", "server");
  char byte = 0;
  EXPECT_LE(recv(first, &byte, 1, 0), 0);
  EXPECT_LE(recv(first_server, &byte, 1, 0), 0);
  const int second = Connect(relay_port);
  const int second_server = accept(listener, nullptr, nullptr);
  EXPECT_EQ(send(second, "b", 1, 0), 1);
  EXPECT_EQ(ReadByte(second_server), 'b');
  for (const int descriptor : {first, first_server, second, second_server, listener}) {
    close(descriptor);
  }
}

/// Guards against messages that pass a cut because their sender could not be told: an agent beyond
/// a cut was heard 4 s after it and got tasks (scenario data_centre_split).
TEST(RelayHubTest, ConnectionOfAnUnknownClientIsClosed) {
  PortBlock ports;
  const std::uint16_t server_port = ports.Next();
  const std::uint16_t relay_port = ports.Next();
  const int listener = Listen(server_port);
  LinkTable links;
  std::atomic<int> lookups{0};
  RelayHub hub(links, [&lookups](std::uint16_t, std::uint16_t) {
    // Missing from the first reading only, for the first connection.
    return std::string(++lookups == 2 ? "client" : "");
  });
  hub.Add(relay_port, server_port, "server");
  const int named = Connect(relay_port);
  const int named_server = accept(listener, nullptr, nullptr);
  EXPECT_EQ(send(named, "a", 1, 0), 1);
  EXPECT_EQ(ReadByte(named_server), 'a');
  const int unnamed = Connect(relay_port);
  char byte = 0;
  EXPECT_LE(recv(unnamed, &byte, 1, 0), 0);
  fcntl(listener, F_SETFL, O_NONBLOCK);
  EXPECT_EQ(accept(listener, nullptr, nullptr), -1) << "the target must not hear of it";
  for (const int descriptor : {named, named_server, unnamed, listener}) {
    close(descriptor);
  }
}

/// Guards against cuts that hit the wrong link because the connecting process is not recognised.
TEST(SocketOwnerTest, FindsTheProcessThatConnected) {
  PortBlock ports;
  const std::uint16_t port = ports.Next();
  const int listener = Listen(port);
  const int client = Connect(port);
  sockaddr_in own{};
  socklen_t length = sizeof(own);
  getsockname(client, reinterpret_cast<sockaddr*>(&own), &length);
  const std::vector<pid_t> processes{getppid(), getpid()};
  EXPECT_EQ(FindSocketOwner(ntohs(own.sin_port), port, processes), getpid());
  EXPECT_EQ(FindSocketOwner(1, port, processes), 0);
  close(client);
  close(listener);
}

class LuaScriptTest : public testing::Test {
 protected:
  Status Run(const std::string& text) {
    return this->script.Run(this->folder.Write("script.lua", text));
  }

  WorkFolder folder;
  LuaScript script{"."};
};

/// Guards against values that change on their way between scripts and processes.
TEST_F(LuaScriptTest, CarriesJsonBothWays) {
  Json::Value seen;
  this->script.Register("echo", [&seen](const Json::Value& arguments) {
    seen = arguments;
    return arguments[0];
  });
  const Status status = this->Run(R"(
    local back = host.echo({list = array{}, object = {}, nothing = null, n = 5, x = 0.5, on = true})
    assert(#back.list == 0 and back.nothing == null and back.n == 5 and back.x == 0.5 and back.on)
    host.echo(back))");
  ASSERT_TRUE(IsOk(status)) << GetError(status).message;
  EXPECT_TRUE(seen[0]["list"].isArray());
  EXPECT_TRUE(seen[0]["object"].isObject());
  EXPECT_TRUE(seen[0]["nothing"].isNull());
  EXPECT_EQ(seen[0]["n"], Json::Value(5));
}

/// Guards against failures that pass, or that do not say where they are.
TEST_F(LuaScriptTest, FailuresNameTheirPlace) {
  this->script.Register(
      "fail", [](const Json::Value&) -> Json::Value { throw std::runtime_error("the reason"); });
  for (const char* text : {"\nhost.fail()", "\nerror('the reason')"}) {
    const Status status = this->Run(text);
    ASSERT_FALSE(IsOk(status));
    EXPECT_THAT(GetError(status).message, HasSubstr("script.lua:2: the reason"));
  }
  EXPECT_FALSE(IsOk(this->Run("not lua")));
}

}  // namespace
}  // namespace quetzalvale
