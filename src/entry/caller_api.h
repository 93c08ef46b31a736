/// HTTP interface of callers.
#pragma once

#include <atomic>
#include <cstdint>

#include "entry/configuration_book.h"
#include "entry/core_thread.h"
#include "entry/open_requests.h"
#include "http/http_messages.h"

namespace quetzalvale {

/// Validates requests and posts them to the decision logic. Thread-safe; never waits.
class CallerApi {
 public:
  /// All must outlive the interface. `ids` numbers the requests of the process.
  CallerApi(CoreThread& core, OpenRequests& open, const ConfigurationBook& book,
            std::atomic<std::uint64_t>& ids);

  /// Handles a request whose path begins with /v1/services.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  void HandleJob(const HttpRequest& request, const HttpResponder& respond);
  void HandleTickets(const HttpRequest& request, const HttpResponder& respond);
  void HandleTicket(const HttpRequest& request, const HttpResponder& respond);
  /// Keeps the responder and posts the event that `make` builds from the request's id.
  template <typename Make>
  void Post(const HttpResponder& respond, const Make& make);

  CoreThread& core;
  OpenRequests& open;
  const ConfigurationBook& book;
  std::atomic<std::uint64_t>& ids;
};

/// Returns the refusal of a method that the path does not have.
HttpResponse WrongMethod(const std::string& allowed);

/// Returns the refusal of an unknown path.
HttpResponse UnknownPath();

}  // namespace quetzalvale
