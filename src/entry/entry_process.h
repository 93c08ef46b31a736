/// An entry: all its parts, wired together.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/admin_api.h"
#include "entry/caller_api.h"
#include "entry/entry_runtime.h"
#include "entry/platform_poller.h"
#include "http/http_server.h"
#include "settings/process_settings.h"
#include "store/http_table_client.h"
#include "store/key_registry.h"

namespace quetzalvale {

/// Start, Leave and Stop belong to one thread.
class EntryProcess {
 public:
  /// `leave_requested` is called when an operator asks for this entry's departure; it must lead to
  /// Leave() on the owning thread.
  /// `guards` are replaced by tests only.
  EntryProcess(ProcessSettings settings, std::function<void()> leave_requested,
               EntryGuards guards = {});
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Returns an empty text, or the reason why the entry cannot serve.
  std::string Start();

  /// Departs gracefully: serves until the decision logic reports the end of the departure, sends
  /// the responses in flight, then closes everything.
  void Leave();

  /// Closes everything at once. May be called twice.
  void Stop();

  const Incarnation& Identity() const { return this->self.incarnation; }

 private:
  /// Inner addresses of other entries, from the settings and the platform's table.
  std::vector<std::string> SeedAddresses();
  void Claim(const ClaimKey& action);
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse Ready() const;
  void ServeMetrics(const HttpResponder& respond);

  ProcessSettings settings;
  std::function<void()> leave_requested;
  EntryGuards guards;
  SystemClock clock;
  EntryInfo self;
  std::atomic<bool> leaving{false};
  Administrators administrators;
  HttpTableClient table;
  ConfigurationStore store;
  EntryRegistry registry;
  KeyRegistry keys;
  WorkerPool key_workers;
  WorkerPool admin_workers;
  EntryRuntime runtime;
  std::unique_ptr<CallerApi> callers;
  std::unique_ptr<AdminApi> admin;
  std::unique_ptr<PlatformPoller> poller;
  std::unique_ptr<HttpServer> http;
};

}  // namespace quetzalvale
