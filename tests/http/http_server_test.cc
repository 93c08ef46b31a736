#include "http/http_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <utility>

#include "http/http_session.h"
#include "tests/support/loopback_address.h"
#include "tests/support/raw_server.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::seconds kPatience{20};

/// A connection whose bytes the test writes itself.
class RawClient {
 public:
  explicit RawClient(const std::string& address) : socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &to.sin_addr);
    EXPECT_EQ(connect(this->socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
  }
  ~RawClient() { this->Close(); }

  void Send(const std::string& bytes) {
    EXPECT_EQ(::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }

  std::string Receive() {
    char buffer[4096];
    const ssize_t size = ::recv(this->socket, buffer, sizeof(buffer), 0);
    return {buffer, static_cast<std::size_t>(std::max<ssize_t>(0, size))};
  }

  /// Closes the connection by a reset.
  void Reset() {
    const linger discard{1, 0};
    setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    this->Close();
  }

  void Close() {
    if (this->socket >= 0) ::close(std::exchange(this->socket, -1));
  }

 private:
  int socket;
};

class HttpServerTest : public testing::Test {
 protected:
  void Start(HttpHandler handler) {
    this->server = std::make_unique<HttpServer>(
        this->address, [] { return std::size_t{1000}; }, std::move(handler));
    this->server->SetAbandoned(
        [this](std::uint64_t exchange) { this->abandoned.set_value(exchange); });
    ASSERT_EQ(this->server->Start(), "");
  }

  /// Blocks the server, sends a request whose connection ends by `leave` before the server reads
  /// it, and checks that only the two other requests are handled.
  void CheckRequestOfAGoneCallerIsNotHandled(const std::function<void(RawClient&)>& leave) {
    std::promise<void> blocked;
    std::promise<void> release;
    std::atomic<int> handled{0};
    this->Start([&](const HttpRequest& request, const HttpResponder& respond) {
      ++handled;
      if (request.target == "/block") {
        blocked.set_value();
        release.get_future().wait();
      }
      respond({200, "{}"});
    });
    RawClient blocker(this->address);
    blocker.Send("GET /block HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_EQ(blocked.get_future().wait_for(kPatience), std::future_status::ready);
    RawClient gone(this->address);
    gone.Send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
    leave(gone);
    release.set_value();
    RawClient next(this->address);
    next.Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(next.Receive(), "");
    this->server->Stop(kPatience);
    EXPECT_EQ(handled, 2);
  }

  std::string address = NextLoopbackAddress();
  std::promise<std::uint64_t> abandoned;
  std::unique_ptr<HttpServer> server;
};

// A caller that closed its connection submits its job elsewhere; what runs for it has to be
// stopped.
TEST_F(HttpServerTest, TellsWhenThePeerClosesBeforeTheResponse) {
  std::promise<std::uint64_t> received;
  HttpResponder later;
  this->Start([&](const HttpRequest& request, HttpResponder respond) {
    later = std::move(respond);
    received.set_value(request.exchange);
  });
  RawClient client(this->address);
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  auto handled = received.get_future();
  ASSERT_EQ(handled.wait_for(kPatience), std::future_status::ready);
  client.Close();
  auto told = this->abandoned.get_future();
  ASSERT_EQ(told.wait_for(kPatience), std::future_status::ready);
  EXPECT_EQ(told.get(), handled.get());
  later({200, "{}"});
}

// Behind a partition a request and the end of its connection arrive together, long after the caller
// has given the request up and submitted it elsewhere.
TEST_F(HttpServerTest, RequestOfAPeerThatHasClosedIsNotHandled) {
  this->CheckRequestOfAGoneCallerIsNotHandled([](RawClient& caller) { caller.Close(); });
}

// The same for a connection that was reset: its caller sends the request again, and two runs of one
// task were in progress at once.
TEST_F(HttpServerTest, RequestOfAConnectionThatWasResetIsNotHandled) {
  this->CheckRequestOfAGoneCallerIsNotHandled([](RawClient& caller) { caller.Reset(); });
}

// A second request on the connection is no sign that the peer is gone.
TEST_F(HttpServerTest, NextRequestSentEarlyIsServedAfterTheFirst) {
  HttpResponder first;
  std::promise<void> received;
  this->Start([&](const HttpRequest& request, const HttpResponder& respond) {
    if (request.target == "/first") {
      first = respond;
      received.set_value();
    } else {
      respond({200, "second"});
    }
  });
  RawClient client(this->address);
  client.Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_EQ(received.get_future().wait_for(kPatience), std::future_status::ready);
  first({200, "first"});
  std::string answers;
  while (answers.find("second") == std::string::npos) {
    const std::string more = client.Receive();
    ASSERT_FALSE(more.empty()) << answers;
    answers += more;
  }
  EXPECT_LT(answers.find("first"), answers.find("second"));
}

TEST_F(HttpServerTest, PassesHeadersHostAndTarget) {
  HttpRequest seen;
  this->Start([&](const HttpRequest& request, const HttpResponder& respond) {
    seen = request;
    HttpResponse response{200, "ok"};
    response.headers["Retry-After"] = "3";
    respond(response);
  });
  HttpSession session(this->address, 1);
  OutgoingRequest request{"POST", "/p%41/q?x=1%202", "body"};
  request.headers["X-Deadline-Ms"] = "1500";
  const HttpResult result = session.SendAndWait(request, kPatience);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
  EXPECT_EQ(std::get<HttpResponse>(result).body, "ok");
  EXPECT_EQ(seen.target, "/p%41/q?x=1%202");
  EXPECT_EQ(seen.path, (std::vector<std::string>{"pA", "q"}));
  EXPECT_EQ(seen.query.at("x"), "1 2");
  EXPECT_EQ(seen.Header("x-deadline-ms"), "1500");
  EXPECT_EQ(seen.host, this->address);
}

TEST_F(HttpServerTest, SessionTellsARefusedConnectionFromALostAnswer) {
  HttpSession nobody(this->address, 1);
  const HttpResult refused = nobody.SendAndWait({"GET", "/"}, kPatience);
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(refused));
  EXPECT_TRUE(std::get<HttpFailure>(refused).not_sent);
  EXPECT_FALSE(std::get<HttpFailure>(refused).timed_out);
  std::atomic<int> requests{0};
  HttpResponder kept;
  // The first request gets no answer.
  this->Start([&](const HttpRequest&, const HttpResponder& respond) {
    if (++requests == 1) {
      kept = respond;
    } else {
      respond({200, "again"});
    }
  });
  HttpSession session(this->address, 1);
  const HttpResult lost = session.SendAndWait({"GET", "/"}, std::chrono::milliseconds(100));
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(lost));
  EXPECT_FALSE(std::get<HttpFailure>(lost).not_sent);
  EXPECT_TRUE(std::get<HttpFailure>(lost).timed_out) << "the peer has not closed the connection";
  // The session goes on with a new connection.
  const HttpResult next = session.SendAndWait({"GET", "/"}, kPatience);
  EXPECT_TRUE(std::holds_alternative<HttpResponse>(next));
}

// Many servers send the headers of a response before its body. Responses whose headers arrived
// alone were taken to be larger than any limit, so such a store, worker or entry could not be used.
TEST(HttpSessionTest, BodyMayArriveAfterItsHeaders) {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  RawServer server({response, response}, std::chrono::milliseconds(100));
  HttpSession session(server.Address(), 1);
  for (int i = 0; i < 2; ++i) {
    const HttpResult result = session.SendAndWait({"GET", "/"}, kPatience);
    ASSERT_TRUE(std::holds_alternative<HttpResponse>(result))
        << std::get<HttpFailure>(result).message;
    EXPECT_EQ(std::get<HttpResponse>(result).body, "hello");
  }
}

// As above, for every place at which a response can be divided.
TEST(HttpSessionTest, ResponseMayArriveInAnyTwoParts) {
  const std::array<std::string, 3> responses{
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"};
  for (const std::string& response : responses) {
    for (std::size_t size = 1; size < response.size(); ++size) {
      RawServer server({response}, std::chrono::milliseconds(5), size);
      HttpSession session(server.Address(), 1);
      const HttpResult result = session.SendAndWait({"GET", "/"}, kPatience);
      ASSERT_TRUE(std::holds_alternative<HttpResponse>(result))
          << size << " bytes of " << response << ": " << std::get<HttpFailure>(result).message;
      EXPECT_EQ(std::get<HttpResponse>(result).body, "hello") << size << " bytes of " << response;
    }
  }
}

// A handler that throws on one request must not end the process; the next request is answered.
TEST_F(HttpServerTest, ExceptionOfTheHandlerCostsOneRequest) {
  this->Start([](const HttpRequest& request, const HttpResponder& respond) {
    if (request.target == "/broken") throw std::invalid_argument("unexpected");
    respond({200, "{}"});
  });
  HttpSession session(this->address, 1);
  OutgoingRequest broken;
  broken.target = "/broken";
  const auto failed = session.SendAndWait(broken, kPatience);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(failed));
  EXPECT_EQ(std::get<HttpResponse>(failed).status, 500);
  OutgoingRequest sound;
  sound.target = "/sound";
  const auto answered = session.SendAndWait(sound, kPatience);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(answered));
  EXPECT_EQ(std::get<HttpResponse>(answered).status, 200);
}

// After a suspension of this process, a request that waited for its connection is no longer wanted.
// Not sending it proves that the peer does not have it.
TEST_F(HttpServerTest, RequestWhoseTimeIsOverIsNotSent) {
  std::atomic<int> requests{0};
  this->Start([&requests](const HttpRequest&, const HttpResponder& respond) {
    ++requests;
    respond({200, "{}"});
  });
  HttpSession session(this->address, 1);
  const auto result = session.SendAndWait(OutgoingRequest{}, std::chrono::milliseconds(0));
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(result));
  EXPECT_TRUE(std::get<HttpFailure>(result).not_sent);
  EXPECT_EQ(requests, 0);
}

}  // namespace
}  // namespace quetzalvale
