// What peers of HttpServer and HttpSession get at the limits, and a mutation test of the boundary.
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_server.h"
#include "http/http_session.h"
#include "tests/clients/raw_peer.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale {
namespace {

class HttpLimitsTest : public testing::Test {
 protected:
  /// Only tests of lateness lower the time limits, so that a busy machine fails no other.
  explicit HttpLimitsTest(HttpLimits limits = {}) {
    limits.connections = 64;
    limits.total_bytes = 1U << 20U;
    this->table = std::make_shared<ConnectionTable>(limits);
    this->server = std::make_unique<HttpServer>(
        this->address, [] { return std::size_t{700000}; },
        [this](HttpRequest request, HttpResponder respond) {
          if (request.target == "/hold") {
            const std::lock_guard lock(this->mutex);
            this->held.push_back(std::move(respond));
          } else {
            respond({200, "{}"});
          }
        },
        this->table);
  }

  void SetUp() override { ASSERT_EQ(this->server->Start(), ""); }

  /// Returns what the server sends until it closes the connection.
  std::string Exchange(const std::string& request) const {
    RawPeer peer(this->address);
    peer.Send(request);
    return peer.ReceiveUntil("no such text");
  }

  static std::string Status(const std::string& answer) { return answer.substr(9, 3); }

  void ExpectServed() const {
    RawPeer peer(this->address);
    peer.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(peer.ReceiveUntil("\r\n").substr(0, 15), "HTTP/1.1 200 OK");
  }

  std::string address = NextLoopbackAddress();
  std::shared_ptr<ConnectionTable> table;
  std::mutex mutex;
  std::vector<HttpResponder> held;
  std::unique_ptr<HttpServer> server;
};

// A caller has to learn whether to correct its request or to send it again.
TEST_F(HttpLimitsTest, RefusedRequestsGetTruthfulAnswers) {
  const std::string line = "X-Filler: " + std::string(8000, 'x') + "\r\n";
  const std::string lines = line + line + line + line + line;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  EXPECT_EQ(Status(this->Exchange("not http\r\n\r\n")), "400");
  EXPECT_EQ(Status(this->Exchange(chunked + "no number\r\n")), "400");
  EXPECT_EQ(Status(this->Exchange(head + "Content-Length: 700001\r\n\r\n")), "413");
  EXPECT_EQ(Status(this->Exchange(head + lines + "\r\n")), "431");
  EXPECT_EQ(Status(this->Exchange(chunked + "0\r\n" + lines + "\r\n")), "431");
  EXPECT_EQ(Status(this->Exchange(chunked + "1;" + std::string(40000, 'x') + "\r\n")), "431");
  this->ExpectServed();
}

class HttpLateTest : public HttpLimitsTest {
 protected:
  static HttpLimits Limits() {
    HttpLimits limits;
    limits.header = limits.transfer = std::chrono::milliseconds(300);
    return limits;
  }
  HttpLateTest() : HttpLimitsTest(Limits()) {}
};

TEST_F(HttpLateTest, LateRequestsAreToldSo) {
  EXPECT_EQ(Status(this->Exchange("GET / HT")), "408");
  EXPECT_EQ(Status(this->Exchange("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n1234")), "408");
}

// 503 says that the request has not run, so it must not have reached the handler.
TEST_F(HttpLimitsTest, RequestWithoutRoomIsAnsweredAndNotHandled) {
  std::vector<std::unique_ptr<RawPeer>> peers;
  const std::string request = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int i = 0; i < 32; ++i) {
    peers.push_back(std::make_unique<RawPeer>(this->address));
    peers.back()->Send(request);
  }
  const auto count_held = [this] {
    const std::lock_guard lock(this->mutex);
    return this->held.size();
  };
  while (count_held() < 32) std::this_thread::yield();
  const std::string answer = this->Exchange(request);
  EXPECT_EQ(Status(answer), "503");
  EXPECT_NE(answer.find("not run"), std::string::npos);
  EXPECT_EQ(count_held(), 32);
}

// The limits of well-behaved clients are served.
TEST_F(HttpLimitsTest, RequestWithinTheLimitsIsServed) {
  std::string request = "POST / HTTP/1.1\r\nHost: h\r\n";
  while (request.size() < 16000)
    request += "X-Header-" + std::to_string(request.size()) + ": x\r\n";
  request += "Content-Length: 262144\r\n\r\n" + std::string(262144, 'x');
  RawPeer peer(this->address);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(peer.Send(request));
    EXPECT_EQ(Status(peer.ReceiveUntil("{}")), "200");
  }
}

// Bytes that the parser does not expect must neither end the process nor leave a connection or its
// memory counted. QUETZALVALE_MUTATIONS and QUETZALVALE_SEED make a longer run by hand.
TEST_F(HttpLimitsTest, MutatedRequestsLeaveNothingBehind) {
  const auto setting = [](const char* name, unsigned int usual) {
    const char* text = std::getenv(name);
    return text == nullptr ? usual : static_cast<unsigned int>(std::strtoul(text, nullptr, 10));
  };
  const unsigned int seed = setting("QUETZALVALE_SEED", 20261207);
  const unsigned int runs = setting("QUETZALVALE_MUTATIONS", 2000);
  std::mt19937 random(seed);
  const auto draw = [&random](std::size_t below) { return random() % below; };
  const std::array<std::string, 4> valid{
      "GET /a?b=%20c HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 1800\r\n\r\n",
      "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n{\"a\":[1,2]}",
      "POST /q/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n"
      "5;e=\"1\"\r\nhello\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\n",
      "PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}"};
  const std::string bytes("\r\n\0 :;,=%0fF9-\x7f\xff", 17);
  for (unsigned int run = 0; run < runs && !this->HasFailure(); ++run) {
    std::string request = valid.at(draw(valid.size()));
    for (std::size_t change = 1 + draw(4); change > 0 && !request.empty(); --change) {
      const std::size_t at = draw(request.size());
      switch (draw(6)) {
        case 0:
          request.resize(at);
          break;
        case 1:
          request += request.substr(at);
          break;
        case 2:
          request.insert(at, draw(20000), request[at]);
          break;
        case 3:
          request.insert(at, request.substr(at, 1 + draw(40)));
          break;
        case 4:
          request.erase(at, 1 + draw(10));
          break;
        default:
          request[at] = bytes[draw(bytes.size())];
          break;
      }
    }
    SCOPED_TRACE("seed " + std::to_string(seed) + " run " + std::to_string(run));
    RawPeer peer(this->address);
    ASSERT_TRUE(peer.IsOpen());
    peer.Send(request);
    if (run % 100 == 0) this->ExpectServed();
  }
  this->ExpectServed();
  this->server->Stop(RawPeer::kPatience);
  this->server.reset();
  EXPECT_EQ(this->table->OpenConnections(), 0);
  EXPECT_EQ(this->table->HeldBytes(), 0);
}

}  // namespace
}  // namespace quetzalvale
