// Untrusted clients of the deployed programs. Each test starts one program with lowered limits and
// checks what a peer can make it hold; none checks a time or a share of requests.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/http_server.h"
#include "platform/wire.h"
#include "protocol/codec.h"
#include "scenario/child_process.h"
#include "scenario/port_block.h"
#include "tests/clients/raw_peer.h"

namespace quetzalvale {
namespace {

constexpr std::size_t kMb = 1000000;
/// The machines of the target, the share that a process may use for its own work
/// (docs/hard-load.md), and the default limits that the rest is meant for.
constexpr std::size_t kEntryMemory = 160 * kMb;
constexpr std::size_t kAgentMemory = 128 * kMb;
constexpr std::size_t kOwnMemory = 64 * kMb;
constexpr std::size_t kDescriptors = 4096;
constexpr std::size_t kDefaultTotalBytes = 32U << 20U;
constexpr std::size_t kDefaultConnections = 2048;
/// The lowered limits, and what remains of the memory and the descriptors in proportion.
constexpr std::size_t kTotalBytes = 8U << 20U;
constexpr std::size_t kConnections = 64;
constexpr std::size_t kMaxDescriptors = kDescriptors * kConnections / kDefaultConnections;
constexpr std::size_t MaxMemory(std::size_t machine) {
  return kOwnMemory + (machine - kOwnMemory) * kTotalBytes / kDefaultTotalBytes;
}

constexpr std::size_t kFlood = 60 * kMb;
constexpr int kFlooders = 6;

std::size_t OpenDescriptors(pid_t process) {
  std::size_t count = 0;
  std::error_code error;
  const auto folder = "/proc/" + std::to_string(process) + "/fd";
  for (auto file = std::filesystem::directory_iterator(folder, error);
       !error && file != std::filesystem::directory_iterator(); file.increment(error)) {
    ++count;
  }
  return count;
}

/// Highest resident memory of the process so far, in bytes.
std::size_t PeakMemory(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (status >> word && word != "VmHWM:") {
  }
  status >> kilobytes;
  return kilobytes * 1024;
}

bool WaitFor(const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kLongest{60};
  const auto end = std::chrono::steady_clock::now() + kLongest;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

class ClientsTest : public testing::Test {
 protected:
  ClientsTest() {
    for (std::string* address : {&this->caller, &this->ready, &this->report, &this->store}) {
      *address = "127.0.0.1:" + std::to_string(this->ports.Next());
    }
    this->first_port = this->ports.Next();
    this->inner = "127.0.0.1:" + std::to_string(this->first_port);
    this->last_port = this->ports.Next();
  }

  ~ClientsTest() override { this->StopSampling(); }

  void StopSampling() {
    this->sampling = false;
    if (this->sampler.joinable()) this->sampler.join();
  }

  void StartEntry() {
    Json::Value settings = this->Settings();
    settings["caller_address"] = this->caller;
    settings["ready_address"] = this->ready;
    this->Start("entry", settings, this->ready);
  }

  void StartAgent() {
    Json::Value settings = this->Settings();
    settings["report_address"] = this->report;
    // Nobody listens there.
    settings["worker_address"] = "127.0.0.1:" + std::to_string(this->last_port);
    this->Start("agent", settings, this->report);
  }

  /// Starts a store that has a configuration with one queue, for jobs at /q/. It answers no other
  /// request than those for rows.
  void ServeConfiguration() {
    const std::string configuration =
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/q/","service":"s",)"
        R"("timeout_ms":1500,"max_attempts":1}],"limits":{"max_body_bytes":262144}})";
    const auto row = ReadJson(platform::EncodeRowWrite("op", "config", configuration, 0));
    Json::Value rows;
    rows["ver"] = 1;
    rows["rows"][0] = std::get<Json::Value>(row)["writes"][0];
    rows["rows"][0]["ver"] = 1;
    this->store_server = std::make_unique<HttpServer>(
        this->store, [] { return kMb; },
        [text = WriteJson(rows)](const HttpRequest& request, const HttpResponder& respond) {
          if (request.path.back() == "rows-get" && request.query.at("table") == "op") {
            respond({200, text});
          }
        });
    ASSERT_EQ(this->store_server->Start(), "");
  }

  /// Opens `count` connections from `from`.
  void Open(int count, const std::string& address, const std::string& from = "127.0.0.1",
            int receive_buffer = 0) {
    for (int i = 0; i < count; ++i) this->peers.emplace_back(address, from, receive_buffer);
  }

  /// Sends `head` and then `part` again and again on several connections at once, until the server
  /// closes them or each has sent `kFlood` bytes.
  void Flood(const std::string& address, const std::string& head, const std::string& part) {
    std::vector<std::thread> threads;
    for (int i = 0; i < kFlooders; ++i) {
      RawPeer& peer = this->peers.emplace_back(address);
      threads.emplace_back([&peer, &head, &part] {
        peer.Send(head);
        std::string block;
        while (block.size() < 65536) block += part;
        for (std::size_t sent = 0; sent < kFlood && peer.Send(block);) sent += block.size();
      });
    }
    for (auto& thread : threads) thread.join();
  }

  /// Sends the request on each of `count` connections as far as the server takes it, and leaves
  /// them open.
  void Hold(int count, const std::string& address, const std::string& request) {
    this->Open(count, address);
    for (RawPeer& peer : this->peers) {
      if (peer.IsOpen()) peer.Send(request);
    }
  }

  /// Waits until the server has ended or answered what is held, so that it has read all it takes.
  void Settle() {
    EXPECT_TRUE(WaitFor([this] {
      return std::ranges::all_of(this->peers,
                                 [](RawPeer& peer) { return peer.HasAnswer() || peer.IsClosed(); });
    }));
  }

  bool AreAllClosed() {
    return std::ranges::all_of(this->peers, [](RawPeer& peer) { return peer.IsClosed(); });
  }

  /// Returns the first line of the answer.
  static std::string Ask(const std::string& address, const std::string& request,
                         const std::string& from = "127.0.0.1") {
    RawPeer peer(address, from);
    peer.Send(request);
    const std::string answer = peer.ReceiveUntil("\r\n");
    return answer.substr(0, answer.find("\r\n"));
  }

  static std::string AskMetrics(const std::string& address, const std::string& from = "127.0.0.1") {
    return Ask(address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", from);
  }

  /// Guards against a process that dies, or that a peer makes hold more than its machine has.
  void CheckEntry() {
    this->peers.clear();
    EXPECT_EQ(AskMetrics(this->ready), "HTTP/1.1 200 OK");
    // No queue is configured, so any answer but a missing one will do.
    const std::string answer =
        Ask(this->caller, "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_EQ(answer.substr(0, 9), "HTTP/1.1 ");
    this->CheckProcess(kEntryMemory);
  }

  void CheckAgent() {
    this->peers.clear();
    const std::string report =
        R"({"service":"s","addr":"127.0.0.1:1","zone":"z1","version":"v1","slots":8,)"
        R"("state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
        R"("labels":[],"clock_ms":1000,"born":1,"seq":1})";
    EXPECT_EQ(Ask(this->report,
                  "POST /api/Instances.Heartbeat/w HTTP/1.1\r\nHost: h\r\n"
                  "Content-Length: " +
                      std::to_string(report.size()) + "\r\n\r\n" + report),
              "HTTP/1.1 200 OK");
    this->CheckProcess(kAgentMemory);
  }

  void CheckProcess(std::size_t machine) {
    EXPECT_FALSE(this->process->ExitCode().has_value()) << "the process has ended";
    const std::size_t memory = PeakMemory(this->process->Id());
    RecordProperty("megabytes", std::to_string(memory / kMb));
    EXPECT_LE(memory, MaxMemory(machine));
    EXPECT_LE(this->most_descriptors, kMaxDescriptors);
  }

  PortBlock ports;
  std::string caller;
  std::string ready;
  std::string report;
  std::string store;
  std::string inner;
  int first_port = 0;
  int last_port = 0;
  std::list<RawPeer> peers;
  std::unique_ptr<HttpServer> store_server;
  std::unique_ptr<ChildProcess> process;

 private:
  Json::Value Settings() const {
    Json::Value settings;
    settings["name"] = "p";
    settings["data_centre"] = "z1";
    settings["inner_host"] = "127.0.0.1";
    settings["inner_ports"].append(this->first_port);
    settings["inner_ports"].append(this->last_port);
    settings["store_address"] = this->store;
    Json::Value& limits = settings["limits"];
    limits["connections"] = static_cast<Json::UInt>(kConnections);
    limits["total_bytes"] = static_cast<Json::UInt>(kTotalBytes);
    limits["header_ms"] = 2000;
    limits["transfer_ms"] = 3000;
    limits["idle_ms"] = 3000;
    return settings;
  }

  void Start(const std::string& role, const Json::Value& settings, const std::string& serving) {
    const std::string base = testing::TempDir() + "clients-" + std::to_string(this->first_port);
    std::ofstream(base + ".json") << WriteJson(settings);
    this->process = std::make_unique<ChildProcess>(
        std::vector<std::string>{std::string(PROGRAMS) + "/quetzalvale-platform-" + role,
                                 "--settings=" + base + ".json"},
        base + ".log");
    ASSERT_TRUE(WaitFor([&serving] { return RawPeer(serving).IsOpen(); }));
    this->sampling = true;
    this->sampler = std::thread([this] {
      while (this->sampling) {
        this->most_descriptors =
            std::max(this->most_descriptors.load(), OpenDescriptors(this->process->Id()));
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }

  std::atomic<bool> sampling{false};
  std::atomic<std::size_t> most_descriptors{0};
  std::thread sampler;
};

const std::string kChunked = "POST /q/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kEndOfChunks = "5\r\nhello\r\n0\r\n";
const std::string kLine = "X-Filler: " + std::string(500, 'x') + "\r\n";

// The limit on headers does not apply to trailers: six such peers made an entry hold 319 MB.
TEST_F(ClientsTest, EntryBoundsTrailers) {
  this->StartEntry();
  this->Flood(this->caller, kChunked + kEndOfChunks, kLine);
  this->CheckEntry();
}

// A chunk's extension has no end of line until the peer sends one.
TEST_F(ClientsTest, EntryBoundsChunkExtensions) {
  this->StartEntry();
  this->Flood(this->caller, kChunked + "5;", "e=0123456789;");
  this->CheckEntry();
}

// Headers are bounded as a whole, and so is a line that never ends.
TEST_F(ClientsTest, EntryBoundsHeaders) {
  this->StartEntry();
  this->Flood(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n", kLine);
  this->Flood(this->caller, "GET /", std::string(500, 'x'));
  this->CheckEntry();
}

// A header of four bytes takes many times its size in memory, so peers that stop before the end of
// their headers hold more than they sent.
TEST_F(ClientsTest, EntryBoundsHeadersThatAreHeld) {
  this->StartEntry();
  std::string fields;
  for (int i = 0; i < 7500; ++i) fields += "a:\r\n";
  this->Hold(150, this->caller, "GET / HTTP/1.1\r\nHost: h\r\n" + fields);
  this->Settle();
  this->CheckEntry();
}

// Bodies within the limit of one request, by so many peers that the process cannot hold them all.
TEST_F(ClientsTest, EntryBoundsBodiesOfAllConnections) {
  this->StartEntry();
  this->Hold(200, this->caller,
             "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" +
                 std::string(999999, 'x'));
  this->Settle();
  this->CheckEntry();
}

// A request of 270 bytes became a list of 100,000 tasks, which took 16 MB each time until the limit
// of the service was asked: 60 such peers made an entry exceed the memory of its machine.
TEST_F(ClientsTest, EntryBoundsWhatSmallRequestsBecome) {
  this->ServeConfiguration();
  this->StartEntry();
  EXPECT_TRUE(WaitFor([this] {
    return Ask(this->ready, "GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n") == "HTTP/1.1 200 OK";
  }));
  const std::string body = R"({"spec":")" + std::string(36, 'q') +
                           R"(","best_effort":true,"steps":[{"count":100000,"cpu":1000,)"
                           R"("mem_mb":64,"est_ms":50}]})";
  constexpr int kRounds = 5;
  constexpr int kPeers = 60;
  for (int round = 0; round < kRounds; ++round) {
    this->peers.clear();
    this->Open(kPeers, this->caller);
    int number = 1000 * (round + 1);
    for (RawPeer& peer : this->peers) {
      peer.Send("POST /q/000000000000" + std::to_string(++number) +
                " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    }
    this->Settle();
  }
  this->CheckEntry();
}

// The same in chunks, whose total size is not known beforehand.
TEST_F(ClientsTest, EntryBoundsChunkedBodiesOfAllConnections) {
  this->StartEntry();
  std::string body = kChunked;
  for (int i = 0; i < 900; ++i) body += "3e8\r\n" + std::string(1000, 'x') + "\r\n";
  this->Hold(200, this->caller, body);
  this->Settle();
  this->CheckEntry();
}

// The address for other processes took 64 MB of a peer that has no key.
TEST_F(ClientsTest, EntryBoundsBodiesAtItsInnerAddress) {
  this->StartEntry();
  this->Flood(this->inner,
              "POST /calls/heartbeat HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n",
              std::string(500, 'x'));
  this->CheckEntry();
}

// Requests sent ahead of the answers wait in the connection's buffer.
TEST_F(ClientsTest, EntryBoundsRequestsSentAhead) {
  this->StartEntry();
  this->Flood(this->ready, "", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  this->CheckEntry();
}

// Connections that send nothing took descriptors without a bound.
TEST_F(ClientsTest, EntryBoundsIdleConnections) {
  this->StartEntry();
  this->Open(300, this->caller);
  this->CheckEntry();
}

// A peer that sends one byte after the other must not hold its place.
TEST_F(ClientsTest, EntryEndsTrickledRequests) {
  this->StartEntry();
  this->Open(20, this->caller);
  this->Hold(20, this->caller, "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n");
  EXPECT_TRUE(WaitFor([this] {
    for (RawPeer& peer : this->peers) peer.SendSome("A", 1);
    return this->AreAllClosed();
  }));
  this->CheckEntry();
}

// A peer that sends nothing must not keep its place either.
TEST_F(ClientsTest, EntryEndsIdleConnections) {
  this->StartEntry();
  this->Open(40, this->caller);
  EXPECT_TRUE(WaitFor([this] { return this->AreAllClosed(); }));
  this->CheckEntry();
}

// A peer that does not read its answers must not hold them. Sending shows that it is closed.
TEST_F(ClientsTest, EntryEndsConnectionsWhoseAnswersAreNotRead) {
  this->StartEntry();
  this->Open(20, this->ready, "127.0.0.1", 2048);
  std::string requests;
  for (int i = 0; i < 1000; ++i) requests += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  EXPECT_TRUE(WaitFor([&] {
    for (RawPeer& peer : this->peers) peer.SendSome(requests.data(), requests.size());
    return std::ranges::none_of(this->peers, &RawPeer::IsOpen);
  }));
  this->CheckEntry();
}

// With a full descriptor table, accepting failed at once and was tried again at once.
TEST_F(ClientsTest, EntryServesWithAFullDescriptorTable) {
  this->StartEntry();
  AskMetrics(this->ready);
  const rlimit room{OpenDescriptors(this->process->Id()) + 10, kDescriptors};
  ASSERT_EQ(prlimit(this->process->Id(), RLIMIT_NOFILE, &room, nullptr), 0);
  this->Open(40, this->caller);
  EXPECT_EQ(AskMetrics(this->ready, "127.0.0.9"), "HTTP/1.1 200 OK");
  this->CheckEntry();
}

// One address must not take all places from the others, even if it is never idle.
TEST_F(ClientsTest, EntryServesOthersWhileOneAddressTakesAllPlaces) {
  this->StartEntry();
  std::atomic<bool> stop{false};
  std::thread crowd([&] {
    std::list<RawPeer> crowd_peers;
    while (!stop) {
      std::erase_if(crowd_peers, [](RawPeer& peer) { return peer.IsClosed(); });
      while (crowd_peers.size() < 200) {
        crowd_peers.emplace_back(this->caller, "127.0.0.2").Send("GET / HTTP/1.1\r\n");
      }
      for (RawPeer& peer : crowd_peers) peer.SendSome("A", 1);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(AskMetrics(this->ready, "127.0.0.3"), "HTTP/1.1 200 OK");
  stop = true;
  crowd.join();
  this->CheckEntry();
}

// A store that does not stop answering is a peer like any other.
TEST_F(ClientsTest, EntryBoundsAnswersOfTheStore) {
  for (const std::string& head :
       {std::string("HTTP/1.1 200 OK\r\n"), "HTTP/1.1 200 OK\r\n\r\n" + kLine,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + kEndOfChunks}) {
    SCOPED_TRACE(head.substr(0, 60));
    // Listens before the entry starts, and answers every connection without an end.
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(this->store.substr(this->store.find(':') + 1))));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ASSERT_EQ(bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
    ASSERT_EQ(listen(listener, 16), 0);
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    std::thread acceptor([&] {
      int connection = 0;
      while ((connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
        threads.emplace_back([&answered, &head, connection] {
          std::string block = head;
          for (std::size_t sent = 0; sent < 2 * kFlood; sent += block.size()) {
            if (::send(connection, block.data(), block.size(), MSG_NOSIGNAL) <= 0) break;
            block.clear();
            while (block.size() < 65536) block += kLine;
          }
          ::close(connection);
          ++answered;
        });
      }
    });
    this->StartEntry();
    EXPECT_TRUE(WaitFor([&answered] { return answered >= 6; }));
    this->CheckEntry();
    this->process->Signal(SIGKILL);
    this->process->WaitForExit(RawPeer::kPatience);
    shutdown(listener, SHUT_RDWR);
    acceptor.join();
    for (auto& thread : threads) thread.join();
    ::close(listener);
    this->StopSampling();
  }
}

// The agent's server for status reports takes the largest bodies on the smallest machine.
TEST_F(ClientsTest, AgentBoundsTrailers) {
  this->StartAgent();
  this->Flood(this->report, kChunked + kEndOfChunks, kLine);
  this->CheckAgent();
}

TEST_F(ClientsTest, AgentBoundsReportsOfAllConnections) {
  this->StartAgent();
  this->Hold(50, this->report,
             "POST /api/Instances.Heartbeat/w HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n"
             "\r\n" +
                 std::string(3999999, ' '));
  this->Settle();
  this->CheckAgent();
}

// A list of small numbers takes many times its size once it is read.
TEST_F(ClientsTest, AgentBoundsReportsOfManyValues) {
  this->StartAgent();
  std::string body = "{\"labels\":[0";
  while (body.size() < 3999998) body += ",0";
  body += "]}";
  this->Hold(4, this->report,
             "POST /api/Instances.Heartbeat/w HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
  this->Settle();
  this->CheckAgent();
}

TEST_F(ClientsTest, AgentBoundsIdleConnections) {
  this->StartAgent();
  this->Open(300, this->report);
  this->CheckAgent();
}

}  // namespace
}  // namespace quetzalvale
