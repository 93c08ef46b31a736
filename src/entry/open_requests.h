/// Callers' HTTP requests that wait for the decision logic.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

#include "http/http_messages.h"

namespace quetzalvale {

/// Responders by request id; no thread waits. Thread-safe.
class OpenRequests {
 public:
  void Add(std::uint64_t id, HttpResponder responder);

  /// Responds to the request. Returns false when it is not open.
  bool Respond(std::uint64_t id, HttpResponse response);

  std::size_t Count() const;

 private:
  mutable std::mutex mutex;
  std::map<std::uint64_t, HttpResponder> open;
};

}  // namespace quetzalvale
