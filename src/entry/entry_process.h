/// An entry: all its parts, wired together.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>

#include "entry/action_runner.h"
#include "entry/admin_api.h"
#include "entry/caller_api.h"
#include "entry/inner_api.h"
#include "entry/platform_poller.h"
#include "http/http_server.h"
#include "settings/process_settings.h"
#include "store/http_table_client.h"

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
  EntryCore MakeCore();
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse Ready() const;
  void ServeMetrics(const HttpResponder& respond);
  /// Returns nothing when the entry is overloaded.
  std::optional<EntryStatus> Status();

  ProcessSettings settings;
  std::function<void()> leave_requested;
  EntryGuards guards;
  SystemClock clock;
  EntryInfo self;
  std::atomic<std::uint64_t> ids{0};
  std::atomic<bool> leaving{false};
  std::promise<void> departed;
  std::atomic<bool> departed_set{false};
  Metrics metrics;
  Administrators administrators;
  HttpTableClient table;
  ConfigurationStore store;
  EntryRegistry registry;
  KeyRegistry keys;
  PeerSenders senders;
  OpenRequests open;
  WorkerPool key_workers;
  WorkerPool admin_workers;
  ConfigurationBook book;
  std::unique_ptr<ActionRunner> runner;
  std::unique_ptr<CoreThread> core;
  std::unique_ptr<InnerApi> inner;
  std::unique_ptr<CallerApi> callers;
  std::unique_ptr<AdminApi> admin;
  std::unique_ptr<PlatformPoller> poller;
  std::unique_ptr<RpcServer> rpc;
  std::unique_ptr<HttpServer> http;
};

}  // namespace quetzalvale
