#include "entry/entry_process.h"

#include <algorithm>
#include <utility>

#include "entry/answer_json.h"
#include "entry/entry_metrics.h"
#include "runtime/entropy.h"
#include "runtime/log.h"

namespace quetzalvale {
namespace {

constexpr std::chrono::milliseconds kPlatformTimeout{2000};
constexpr std::chrono::milliseconds kChangePatience{10000};
constexpr std::chrono::milliseconds kClaimPatience{3000};
constexpr std::chrono::milliseconds kResponsePatience{10000};
constexpr std::size_t kWaitingClaims = 4096;
constexpr std::size_t kWaitingChanges = 64;
constexpr int kKeyThreads = 4;
constexpr int kAdminThreads = 2;

}  // namespace

EntryProcess::EntryProcess(ProcessSettings settings, std::function<void()> leave_requested,
                           EntryGuards guards)
    : settings(std::move(settings)),
      leave_requested(std::move(leave_requested)),
      guards(std::move(guards)),
      self{DrawIncarnation(), this->settings.advertised_address, this->settings.data_centre},
      administrators(this->settings.administrators),
      table(this->settings.platform, kPlatformTimeout),
      store(table, clock, kChangePatience, this->guards.change_version),
      registry(table, self, this->settings.name),
      keys(table, self.incarnation, DrawSeed, kClaimPatience, this->guards.key_version),
      key_workers(kKeyThreads, kWaitingClaims),
      admin_workers(kAdminThreads, kWaitingChanges),
      runtime({this->self, this->settings.inner_address, this->settings.shared_key,
               this->settings.services, this->guards,
               [this](const ClaimKey& action) { this->Claim(action); }, RenderAnswer}) {}

EntryProcess::~EntryProcess() { this->Stop(); }

std::vector<std::string> EntryProcess::SeedAddresses() {
  std::vector<std::string> seeds = this->settings.entries;
  const auto others = this->registry.Others();
  if (const auto* known = std::get_if<std::vector<EntryInfo>>(&others)) {
    for (const auto& entry : *known) {
      seeds.push_back(entry.address);
    }
  }
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  std::erase(seeds, this->self.address);
  return seeds;
}

void EntryProcess::Claim(const ClaimKey& action) {
  const bool taken = this->key_workers.TryRun([this, action] {
    this->runtime.Core().PostResult(
        KeyClaimed{action.request,
                   this->keys.Claim(action.service, action.key, action.body_hash, action.ticket)});
  });
  if (!taken) {
    this->runtime.Core().PostResult(KeyClaimed{
        action.request,
        Error{ErrorKind::kPlatformUnavailable,
              "too many keys wait to be claimed; submit with a ticket instead of a key"}});
  }
}

std::string EntryProcess::Start() {
  std::string problem = this->runtime.Start(this->SeedAddresses());
  if (!problem.empty()) {
    return problem;
  }
  EntryRuntime& parts = this->runtime;
  this->callers =
      std::make_unique<CallerApi>(parts.Core(), parts.Open(), parts.Book(), parts.RequestIds());
  this->admin = std::make_unique<AdminApi>(
      AdminApi::Parts{this->settings.name, this->administrators, parts.Core(), parts.Book(),
                      this->store, this->admin_workers, parts.Senders(), this->leave_requested});
  this->poller = std::make_unique<PlatformPoller>(
      PlatformPoller::Parts{parts.Book(), this->store, this->registry, parts.Senders(),
                            [this] { return this->runtime.Status(); },
                            [this](std::vector<EntryInfo> entries) {
                              this->runtime.Core().PostResult(EntriesRead{std::move(entries)});
                            },
                            this->settings.entries});
  this->http = std::make_unique<HttpServer>(
      this->settings.caller_address, [this] { return this->runtime.Book().MaxBodyBytes(); },
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
  problem = this->http->Start();
  if (!problem.empty()) {
    return "cannot listen on caller_address " + this->settings.caller_address + " (" + problem +
           "); free the address or change the settings";
  }
  this->poller->Start();
  Log(LogLevel::kInfo, 3000, "entry_started",
      "name=" + this->settings.name + " incarnation=" + this->self.incarnation.Text() +
          " caller_address=" + this->settings.caller_address +
          " inner_address=" + this->settings.inner_address);
  return "";
}

void EntryProcess::Handle(const HttpRequest& request, const HttpResponder& respond) {
  const auto& path = request.path;
  if (path.size() >= 2 && path[0] == "v1" && path[1] == "services") {
    this->callers->Handle(request, respond);
  } else if (path.size() >= 2 && path[0] == "admin" && path[1] == "v1") {
    this->admin->Handle(request, respond);
  } else if (path.size() == 1 && path[0] == "ready") {
    respond(request.method == "GET" ? this->Ready() : WrongMethod("GET"));
  } else if (path.size() == 1 && path[0] == "metrics" && request.method == "GET") {
    this->ServeMetrics(respond);
  } else {
    respond(UnknownPath());
  }
}

HttpResponse EntryProcess::Ready() const {
  if (this->leaving) {
    return RenderRefusal({ErrorKind::kLeaving, "the entry is leaving; use another entry"});
  }
  if (!this->runtime.Book().IsComplete()) {
    return RenderRefusal({ErrorKind::kNotReady,
                          "a service's configuration is not known yet; apply one or wait for the "
                          "platform"});
  }
  return {200, R"({"status":"ready"})"};
}

void EntryProcess::ServeMetrics(const HttpResponder& respond) {
  const bool posted = this->runtime.Core().PostStatusRequest([this,
                                                              respond](const EntryStatus& status) {
    const std::uint64_t sent = this->runtime.Senders().SentCalls() + this->table.SentRequests();
    respond({200, RenderMetrics(this->runtime.Counters(), status, sent), Metrics::kContentType});
  });
  if (!posted) {
    respond(RenderRefusal({ErrorKind::kOverloaded, "the entry is overloaded; read them again"}));
  }
}

void EntryProcess::Leave() {
  if (!this->http) {
    return;
  }
  this->leaving = true;
  Log(LogLevel::kInfo, 3001, "entry_leaving", "name=" + this->settings.name);
  // Callers' connections are not reused from now on, so that none is closed under a request.
  this->http->CloseConnections();
  this->runtime.Leave();
  this->poller->Stop();
  this->registry.Remove();
  this->http->Stop(kResponsePatience);
  this->Stop();
  Log(LogLevel::kInfo, 3002, "entry_departed", "name=" + this->settings.name);
}

void EntryProcess::Stop() {
  if (this->poller) {
    this->poller->Stop();
  }
  if (this->http) {
    this->http->Stop(std::chrono::milliseconds(0));
  }
  this->key_workers.Stop();
  this->admin_workers.Stop();
  this->runtime.Stop();
}

}  // namespace quetzalvale
