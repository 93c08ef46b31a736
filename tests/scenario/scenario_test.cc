/// Tests of the scenario runner's parts; whole scripts are run by ctest from scenarios/.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

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

/// A relay in front of a server, whose clients are named as the test says.
class RelayHubTest : public testing::Test {
 protected:
  /// Both ends of a connection through the relay.
  struct Link {
    int client = -1;
    int server = -1;
  };

  RelayHubTest()
      : server_port(this->ports.Next()),
        relay_port(this->ports.Next()),
        listener(Listen(this->server_port)),
        hub(this->links, [this](std::uint16_t, std::uint16_t) { return this->name_client(); }) {
    this->hub.Add(this->relay_port, this->server_port, "server");
  }

  ~RelayHubTest() override {
    for (const int descriptor : this->open) {
      close(descriptor);
    }
    close(this->listener);
  }

  int OpenClient() {
    this->open.push_back(Connect(this->relay_port));
    return this->open.back();
  }

  Link Open() {
    const int client = this->OpenClient();
    this->open.push_back(accept(this->listener, nullptr, nullptr));
    return {client, this->open.back()};
  }

  static void Send(int descriptor, const char* byte) { EXPECT_EQ(send(descriptor, byte, 1, 0), 1); }

  static bool HasByte(int descriptor) {
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_DONTWAIT) != -1;
  }

  /// Waits for the end of the connection.
  static void ExpectEnd(int descriptor) {
    char byte = 0;
    EXPECT_LE(recv(descriptor, &byte, 1, 0), 0);
  }

  PortBlock ports;
  std::uint16_t server_port;
  std::uint16_t relay_port;
  int listener;
  std::vector<int> open;
  LinkTable links;
  /// Runs on the relay's thread; to be set before the first connection.
  std::function<std::string()> name_client = [] { return "client"; };
  RelayHub hub;
};

/// Guards against a cut that loses bytes for good, or that also cuts the other direction. The byte
/// sent back through the open direction shows that the relay has run meanwhile.
TEST_F(RelayHubTest, HoldsBackOnlyTheCutDirection) {
  const Link link = this->Open();
  this->links.Cut("client", "server");
  Send(link.client, "a");
  Send(link.server, "b");
  EXPECT_EQ(ReadByte(link.client), 'b');
  EXPECT_FALSE(HasByte(link.server));
  this->links.Restore("client", "server");
  EXPECT_EQ(ReadByte(link.server), 'a');
}

/// Guards against a hold that also delays later messages, so that a delayed start could not be
/// overtaken by its withdrawal.
TEST_F(RelayHubTest, HoldsOneMessageWhileOthersPass) {
  this->links.Hold("client", "server");
  const Link first = this->Open();
  Send(first.client, "a");
  while (!this->links.IsHolding("client", "server")) {
    std::this_thread::yield();
  }
  const Link second = this->Open();
  Send(second.client, "b");
  EXPECT_EQ(ReadByte(second.server), 'b');
  EXPECT_FALSE(HasByte(first.server));
  this->links.Release("client", "server");
  EXPECT_EQ(ReadByte(first.server), 'a');
}

/// Guards against a reset that leaves the connection open, or that also breaks later ones.
TEST_F(RelayHubTest, ResetBreaksOffTheOpenConnectionsOnly) {
  const Link first = this->Open();
  this->links.Reset("client", "server");
  ExpectEnd(first.client);
  ExpectEnd(first.server);
  const Link second = this->Open();
  Send(second.client, "b");
  EXPECT_EQ(ReadByte(second.server), 'b');
}

/// Guards against messages that pass a cut because their sender could not be told: an agent beyond
/// a cut was heard 4 s after it and got tasks (scenario data_centre_split).
TEST_F(RelayHubTest, ConnectionOfAnUnknownClientIsClosed) {
  // Missing from the first reading only, for the first connection.
  this->name_client = [lookups = 0]() mutable { return ++lookups == 2 ? "client" : ""; };
  const Link named = this->Open();
  Send(named.client, "a");
  EXPECT_EQ(ReadByte(named.server), 'a');
  ExpectEnd(this->OpenClient());
  fcntl(this->listener, F_SETFL, O_NONBLOCK);
  EXPECT_EQ(accept(this->listener, nullptr, nullptr), -1) << "the target must not hear of it";
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
