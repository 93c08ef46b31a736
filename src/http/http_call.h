/// HTTP calls of the operators' and test programs on HttpClient.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "core/result.h"

namespace quetzalvale {

struct CallRequest {
  /// `IPv4:port`, or a URL that begins with http://.
  std::string address;
  /// GET, PUT, POST or DELETE.
  std::string method = "GET";
  /// Path and query.
  std::string path = "/";
  /// JSON text; sent unless empty.
  std::string body;
  std::map<std::string, std::string> headers;
  std::chrono::milliseconds timeout{30000};
};

struct CallReply {
  int status = 0;
  std::string body;
};

/// Result of a call: a reply with any status, kUnreachable (not connected, so the request was not
/// sent) or kTimeout (the server may have acted on the request).
using CallResult = Result<CallReply>;

/// Waits for the reply. Each call has a connection of its own, because cpprestsdk resends a request
/// when a pooled connection turns out to be closed.
CallResult CallHttp(const CallRequest& request);

/// Returns at once; `done` runs on a thread of cpprestsdk's pool and must not block.
void StartHttpCall(const CallRequest& request, std::function<void(CallResult)> done);

}  // namespace quetzalvale
