#include "http/http_server.h"

#include <cpprest/containerstream.h>
#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <condition_variable>
#include <mutex>
#include <utility>

namespace quetzalvale {
namespace {

using web::http::http_request;
using web::http::http_response;

/// Longest time that one send or receive on a connection may take; bounds slow clients. Waiting for
/// a job's answer does not count.
constexpr int kTransferTimeoutSeconds = 120;

/// Returns false when the URI is not well-formed.
bool ReadTarget(const http_request& message, HttpRequest& request) {
  try {
    const web::uri& uri = message.request_uri();
    for (const auto& segment : web::uri::split_path(uri.path())) {
      request.path.push_back(web::uri::decode(segment));
    }
    for (const auto& [name, value] : web::uri::split_query(uri.query())) {
      request.query[web::uri::decode(name)] = web::uri::decode(value);
    }
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

std::string Header(const http_request& message, const std::string& name) {
  const auto found = message.headers().find(name);
  return found == message.headers().end() ? std::string() : found->second;
}

HttpResponse TooLarge(std::size_t limit) {
  return {
      413,
      R"({"status":"refused","error":"too_large","not_run":false,"message":"the body exceeds )" +
          std::to_string(limit) + R"( bytes; split the job"})"};
}

HttpResponse Malformed(const std::string& problem) {
  return {400, R"({"status":"refused","error":"malformed","not_run":false,"message":")" + problem +
                   R"("})"};
}

}  // namespace

void InitHttpThreads(int threads) { crossplat::threadpool::initialize_with_threads(threads); }

struct HttpServer::State : public std::enable_shared_from_this<HttpServer::State> {
  State(const std::string& address, std::function<std::size_t()> max_body_bytes,
        HttpHandler handler)
      : listener(web::uri("http://" + address), Configuration()),
        max_body_bytes(std::move(max_body_bytes)),
        handler(std::move(handler)) {}

  static web::http::experimental::listener::http_listener_config Configuration() {
    web::http::experimental::listener::http_listener_config configuration;
    configuration.set_timeout(std::chrono::seconds(kTransferTimeoutSeconds));
    return configuration;
  }

  void Receive(const http_request& message) {
    {
      const std::lock_guard lock(this->mutex);
      ++this->in_flight;
    }
    HttpRequest request;
    request.method = message.method();
    request.authorization = Header(message, "Authorization");
    if (!ReadTarget(message, request)) {
      this->Reply(message, Malformed("the URI is not well-formed; percent-encode its segments"));
      return;
    }
    const std::size_t limit = this->max_body_bytes();
    if (message.headers().content_length() > limit) {
      this->Reply(message, TooLarge(limit));
      return;
    }
    this->ReadBody(message, std::move(request), limit);
  }

  void ReadBody(const http_request& message, HttpRequest request, std::size_t limit) {
    auto self = this->shared_from_this();
    message.extract_vector().then([self, message, limit, request = std::move(request)](
                                      const pplx::task<std::vector<unsigned char>>& body) mutable {
      try {
        const auto bytes = body.get();
        request.body.assign(bytes.begin(), bytes.end());
      } catch (const std::exception&) {
        self->Reply(message, Malformed("the body cannot be read; send it again"));
        return;
      }
      if (request.body.size() > limit) {
        self->Reply(message, TooLarge(limit));
        return;
      }
      self->Handle(message, std::move(request));
    });
  }

  void Handle(const http_request& message, HttpRequest request) {
    auto self = this->shared_from_this();
    this->handler(std::move(request), [self, message](HttpResponse response) {
      self->Reply(message, std::move(response));
    });
  }

  void Reply(const http_request& message, HttpResponse response) {
    http_response reply(static_cast<web::http::status_code>(response.status));
    if (response.broken_off) {
      // The library closes the connection when a body ends before its announced length.
      reply.set_body(concurrency::streams::bytestream::open_istream(std::string()), 1);
    } else {
      reply.set_body(std::move(response.body), response.content_type);
    }
    bool close = response.close;
    {
      const std::lock_guard lock(this->mutex);
      close = close || this->closing;
    }
    if (close) {
      reply.headers().add("Connection", "close");
    }
    auto self = this->shared_from_this();
    message.reply(reply).then([self](const pplx::task<void>& sent) {
      try {
        sent.get();
      } catch (const std::exception&) {
        // The peer has closed the connection: there is nobody left to tell.
      }
      const std::lock_guard lock(self->mutex);
      --self->in_flight;
      self->idle.notify_all();
    });
  }

  web::http::experimental::listener::http_listener listener;
  std::function<std::size_t()> max_body_bytes;
  HttpHandler handler;
  mutable std::mutex mutex;
  std::condition_variable idle;
  std::size_t in_flight = 0;
  bool closing = false;
  bool open = false;
};

HttpServer::HttpServer(const std::string& address, std::function<std::size_t()> max_body_bytes,
                       HttpHandler handler)
    : state(std::make_shared<State>(address, std::move(max_body_bytes), std::move(handler))) {}

HttpServer::~HttpServer() { this->Stop(std::chrono::milliseconds(0)); }

std::string HttpServer::Start() {
  std::weak_ptr<State> weak = this->state;
  this->state->listener.support([weak](const http_request& message) {
    if (auto state = weak.lock()) {
      state->Receive(message);
    }
  });
  try {
    this->state->listener.open().wait();
    this->state->open = true;
    return "";
  } catch (const std::exception& failure) {
    return failure.what();
  }
}

void HttpServer::CloseConnections() {
  const std::lock_guard lock(this->state->mutex);
  this->state->closing = true;
}

void HttpServer::Stop(std::chrono::milliseconds patience) {
  this->CloseConnections();
  {
    std::unique_lock lock(this->state->mutex);
    this->state->idle.wait_for(lock, patience, [this] { return this->state->in_flight == 0; });
  }
  if (!std::exchange(this->state->open, false)) {
    return;
  }
  try {
    this->state->listener.close().wait();
  } catch (const std::exception&) {
    // The address is closed either way.
  }
}

std::size_t HttpServer::InFlight() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->in_flight;
}

}  // namespace quetzalvale
