/// HTTP interface of operators.
#pragma once

#include <functional>
#include <string>

#include "entry/administrators.h"
#include "entry/configuration_book.h"
#include "entry/core_thread.h"
#include "entry/worker_pool.h"
#include "http/http_messages.h"
#include "protocol/peer_senders.h"
#include "store/configuration_store.h"

namespace quetzalvale {

/// Authenticates operators and carries out their requests. Thread-safe; never waits: what needs the
/// platform runs on the worker pool.
class AdminApi {
 public:
  struct Parts {
    /// Name of this entry from its settings.
    const std::string& name;
    const Administrators& administrators;
    CoreThread& core;
    ConfigurationBook& book;
    ConfigurationStore& store;
    WorkerPool& workers;
    PeerSenders& senders;
    /// Begins the graceful departure of this entry.
    std::function<void()> leave;
  };

  /// The parts must outlive the interface.
  explicit AdminApi(Parts parts);

  /// Handles a request whose path begins with /admin/v1.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  void HandleStatus(const HttpResponder& respond);
  void HandleService(const HttpRequest& request, const std::string& holder,
                     const HttpResponder& respond);
  void PutConfiguration(const HttpRequest& request, const std::string& holder,
                        const HttpResponder& respond);
  void GetConfiguration(const std::string& service, const HttpResponder& respond);
  void GetAudit(const HttpRequest& request, const HttpResponder& respond);
  void DrainEntry(const std::string& holder, const HttpResponder& respond);
  void DrainAgent(const std::string& name, const std::string& holder, const HttpResponder& respond);
  HttpResponse Apply(const ConfigurationChange& change);
  /// Runs the work on the pool, or responds that the entry is overloaded.
  void RunOnPool(const HttpResponder& respond, std::function<HttpResponse()> work);

  Parts parts;
};

}  // namespace quetzalvale
