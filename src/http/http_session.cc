#include "http/http_session.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <future>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "http/accounted_memory.h"
#include "http/http_loop.h"
#include "http/uri_text.h"
#include "runtime/clock.h"

namespace quetzalvale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr unsigned int kHttp11 = 11;

Tcp::endpoint ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("the address \"" + address + "\" is not IPv4:port");
  }
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

struct HttpSession::State : public std::enable_shared_from_this<HttpSession::State> {
  struct Call {
    std::uint64_t number = 0;
    OutgoingRequest request;
    std::chrono::steady_clock::time_point until;
    /// The same time on a clock that goes on while the machine is suspended.
    std::chrono::steady_clock::time_point send_before{};
    Done done;
  };
  class Connection;

  State(asio::io_context& context, const std::string& address, std::size_t max_connections)
      : host(address),
        endpoint(ParseAddress(address)),
        max_connections(max_connections),
        context(context) {}

  void Dispatch();
  /// Without any connection, nothing would ever send the waiting calls.
  void FailWaiting();
  void Cancel(std::uint64_t number);
  /// Forgets all calls and closes the connections.
  void Close();

  std::string host;
  Tcp::endpoint endpoint;
  std::size_t max_connections;
  asio::io_context& context;
  /// The rest is used on the loop's thread only.
  std::deque<Call> waiting;
  std::vector<std::shared_ptr<Connection>> connections;
};

/// One connection, used on the loop's thread only.
class HttpSession::State::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<State> session, std::unique_ptr<ConnectionTable::Place> place)
      : session(std::move(session)),
        place(std::move(place)),
        account(*this->place, ConnectionTable::OfProcess()->Limits().connection_bytes),
        socket(this->session->context),
        timer(this->session->context),
        buffer(kMaxBufferBytes, AccountedAllocator<char>(this->account)) {}

  bool IsIdle() const { return !this->call; }

  bool Carries(std::uint64_t number) const { return this->call && this->call->number == number; }

  void Run(Call next) {
    this->call = std::move(next);
    this->Build();
    this->Watch();
    if (this->connected) {
      beast::error_code ignored;
      // Ends the wait of WatchPeer.
      this->socket.cancel(ignored);
      this->Write();
      return;
    }
    this->socket.async_connect(this->session->endpoint,
                               [self = this->shared_from_this()](beast::error_code error) {
                                 if (!self->call) {
                                   return;
                                 }
                                 if (error) {
                                   self->Fail({true, "cannot connect: " + self->Reason(error)});
                                   return;
                                 }
                                 self->connected = true;
                                 beast::error_code ignored;
                                 self->socket.set_option(Tcp::no_delay(true), ignored);
                                 self->Write();
                               });
  }

  /// Forgets the call.
  void Close() {
    this->call.reset();
    this->timer.cancel();
    this->Disconnect();
  }

 private:
  void Build() {
    OutgoingRequest& from = this->call->request;
    this->message = {http::string_to_verb(from.method), from.target, kHttp11};
    this->message.set(http::field::host, this->session->host);
    if (!from.authorization.empty()) {
      this->message.set(http::field::authorization, from.authorization);
    }
    if (!from.body.empty()) {
      this->message.set(http::field::content_type, "application/json");
    }
    for (const auto& [name, value] : from.headers) {
      this->message.set(name, value);
    }
    this->message.keep_alive(!from.once);
    this->message.body() = std::move(from.body);
    this->message.prepare_payload();
  }

  /// Ends the call at its time. The timer is armed anew only after it has fired, because setting
  /// it for each call would cost two system calls.
  void Watch() {
    if (this->watching && this->fires_at <= this->call->until) {
      return;
    }
    this->watching = true;
    this->fires_at = this->call->until;
    this->timer.expires_at(this->fires_at);
    this->timer.async_wait([self = this->shared_from_this()](beast::error_code error) {
      if (!error) {
        self->watching = false;
        self->CheckTime();
      }
    });
  }

  void CheckTime() {
    if (!this->call) {
      return;
    }
    if (this->call->until > std::chrono::steady_clock::now()) {
      this->Watch();
      return;
    }
    this->timed_out = true;
    // What is under way on the socket ends with an error.
    this->Disconnect();
  }

  std::string Reason(beast::error_code error) const {
    return this->timed_out ? "the time is over" : error.message();
  }

  void Write() {
    http::async_write(
        this->socket, this->message,
        [self = this->shared_from_this()](beast::error_code error, std::size_t) {
          if (!self->call) {
            return;
          }
          error ? self->Fail({false, "cannot send: " + self->Reason(error)}) : self->Read();
        });
  }

  void Read() {
    this->parser.emplace(std::piecewise_construct, std::make_tuple(&this->account),
                         std::make_tuple(AccountedAllocator<char>(this->account)));
    this->parser->header_limit(kMaxHeaderBytes);
    // Bounded by the account of the connection. Boost 1.74 takes every body that is announced in a
    // header without a body byte behind it to exceed boost::none.
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                       if (!self->call) {
                         return;
                       }
                       error ? self->FailAnswer(error) : self->Complete();
                     });
  }

  void FailAnswer(beast::error_code error) {
    const bool is_too_large =
        error == http::error::header_limit || error == http::error::buffer_overflow ||
        error == http::error::body_limit || error == asio::error::no_buffer_space;
    if (is_too_large) {
      ConnectionTable::OfProcess()->Report(ConnectionEvent::kAnswerTooLarge,
                                           this->session->endpoint.address().to_v4().to_uint());
    }
    this->Fail({false, "no answer: " + (is_too_large ? "it exceeds the limits of connections"
                                                     : this->Reason(error))});
  }

  void Complete() {
    auto message = this->parser->release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.body = std::move(message.body().text);
    for (const auto& field : message.base()) {
      if (field.name() == http::field::unknown) {
        const auto name = field.name_string();
        const auto value = field.value();
        response.headers[LowerCase({name.begin(), name.end()})] = {value.begin(), value.end()};
      }
    }
    if (this->buffer.size() == 0 && this->buffer.capacity() > ByteAccount::kStep) {
      this->buffer.shrink_to_fit();
    }
    if (!message.keep_alive() || this->timed_out || this->call->request.once) {
      this->Drop();
    }
    const Done done = std::exchange(this->call, std::nullopt)->done;
    if (this->connected) {
      this->WatchPeer();
    }
    done(std::move(response));
    this->session->Dispatch();
  }

  void Fail(HttpFailure failure) {
    failure.timed_out = this->timed_out;
    this->Drop();
    const Done done = std::exchange(this->call, std::nullopt)->done;
    done(std::move(failure));
    this->session->Dispatch();
  }

  /// A connection that the peer closes while it is idle must not be used for the next request.
  void WatchPeer() {
    this->socket.async_wait(Tcp::socket::wait_read,
                            [self = this->shared_from_this()](beast::error_code error) {
                              if (!error && self->IsIdle()) {
                                self->Drop();
                              }
                            });
  }

  /// Resets the connection, so that what has not reached the peer yet, as behind a partition, never
  /// does: the caller acts as if the peer did not have it.
  void Disconnect() {
    beast::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
  }

  /// Leaves the session, so that the place in the table is free for another connection.
  void Drop() {
    this->timer.cancel();
    this->Disconnect();
    this->connected = false;
    std::erase_if(this->session->connections,
                  [this](const auto& connection) { return connection.get() == this; });
  }

  std::shared_ptr<State> session;
  std::unique_ptr<ConnectionTable::Place> place;
  ByteAccount account;
  Tcp::socket socket;
  asio::steady_timer timer;
  /// Whether the timer is set, and for when.
  bool watching = false;
  std::chrono::steady_clock::time_point fires_at;
  AccountedBuffer buffer;
  http::request<http::string_body> message;
  std::optional<http::response_parser<AccountedBody, AccountedAllocator<char>>> parser;
  std::optional<Call> call;
  bool connected = false;
  bool timed_out = false;
};

void HttpSession::State::Close() {
  this->waiting.clear();
  for (const auto& connection : std::exchange(this->connections, {})) {
    connection->Close();
  }
}

void HttpSession::State::Dispatch() {
  while (!this->waiting.empty()) {
    auto idle = std::ranges::find_if(this->connections,
                                     [](const auto& connection) { return connection->IsIdle(); });
    if (this->waiting.front().request.once && idle != this->connections.end()) {
      (*idle)->Close();
      this->connections.erase(idle);
      idle = this->connections.end();
    }
    if (idle == this->connections.end()) {
      if (this->connections.size() >= this->max_connections) {
        return;
      }
      auto place = ConnectionTable::OfProcess()->AddOwn();
      if (place == nullptr) {
        this->FailWaiting();
        return;
      }
      this->connections.push_back(
          std::make_shared<Connection>(this->shared_from_this(), std::move(place)));
      idle = std::prev(this->connections.end());
    }
    Call call = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (call.send_before <= SystemClock().Now()) {
      // After a suspension of this process, the request may no longer be wanted.
      call.done(HttpFailure{true, "the time was over before the request was sent"});
      continue;
    }
    (*idle)->Run(std::move(call));
  }
}

void HttpSession::State::FailWaiting() {
  if (!this->connections.empty()) {
    return;
  }
  for (const Call& call : std::exchange(this->waiting, {})) {
    call.done(HttpFailure{true, "this process has too many connections"});
  }
}

void HttpSession::State::Cancel(std::uint64_t number) {
  std::erase_if(this->waiting, [number](const Call& call) { return call.number == number; });
  const auto carrier = std::ranges::find_if(
      this->connections, [number](const auto& connection) { return connection->Carries(number); });
  if (carrier == this->connections.end()) {
    return;
  }
  (*carrier)->Close();
  this->connections.erase(carrier);
  this->Dispatch();
}

HttpSession::HttpSession(const std::string& address, std::size_t max_connections)
    : own_loop(std::make_unique<HttpLoop>()),
      state(std::make_shared<State>(this->own_loop->Context(), address, max_connections)) {}

HttpSession::HttpSession(HttpLoop& loop, const std::string& address, std::size_t max_connections)
    : state(std::make_shared<State>(loop.Context(), address, max_connections)) {}

HttpSession::~HttpSession() {
  if (this->own_loop) {
    // Ends the thread; what it held is closed below, while its context still exists.
    this->own_loop->Stop();
    this->state->Close();
    return;
  }
  asio::post(this->state->context, [state = this->state] { state->Close(); });
}

std::uint64_t HttpSession::Send(OutgoingRequest request, std::chrono::milliseconds timeout,
                                Done done) {
  const std::uint64_t number = ++this->last_call;
  asio::post(
      this->state->context,
      [state = this->state,
       call = State::Call{number, std::move(request), std::chrono::steady_clock::now() + timeout,
                          SystemClock().Now() + timeout, std::move(done)}]() mutable {
        state->waiting.push_back(std::move(call));
        state->Dispatch();
      });
  return number;
}

void HttpSession::Cancel(std::uint64_t call) {
  asio::post(this->state->context, [state = this->state, call] { state->Cancel(call); });
}

HttpResult HttpSession::SendAndWait(OutgoingRequest request, std::chrono::milliseconds timeout) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  this->Send(std::move(request), timeout,
             [promise](HttpResult result) { promise->set_value(std::move(result)); });
  return future.get();
}

}  // namespace quetzalvale
