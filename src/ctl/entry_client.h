/// Calls to the entries' HTTP interfaces on behalf of an operator.
#pragma once

#include <json/value.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "core/result.h"
#include "http/http_call.h"

namespace quetzalvale {

struct EntryReply {
  int status = 0;
  Json::Value body;
};

/// Sends calls to several entries. Not thread-safe.
class EntryClient {
 public:
  using Transport = std::function<CallResult(const CallRequest&)>;

  /// Precondition: `entries` (`IPv4:port`) is not empty. `token` may be empty.
  EntryClient(std::vector<std::string> entries, std::string token,
              std::chrono::milliseconds timeout, Transport transport = CallHttp);

  /// Calls the entries in order until one answers. Only for calls that may be repeated.
  Result<EntryReply> CallAny(const std::string& method, const std::string& path,
                             const Json::Value& body = Json::Value());

  /// Calls one entry.
  Result<EntryReply> CallOne(const std::string& entry, const std::string& method,
                             const std::string& path, const Json::Value& body = Json::Value());

  const std::vector<std::string>& Entries() const { return this->entries; }

 private:
  std::vector<std::string> entries;
  std::string token;
  std::chrono::milliseconds timeout;
  Transport transport;
};

/// Returns the message of a reply that is not 200, with the remedy.
std::string RefusalMessage(const EntryReply& reply);

}  // namespace quetzalvale
