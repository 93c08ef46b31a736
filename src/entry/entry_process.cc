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
constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kResponsePatience{10000};
constexpr std::chrono::milliseconds kStatusPatience{1000};
constexpr std::size_t kCallsPerPeer = 4096;
constexpr std::size_t kWaitingClaims = 4096;
constexpr std::size_t kWaitingChanges = 64;
constexpr int kKeyThreads = 4;
constexpr int kAdminThreads = 2;
constexpr int kRpcThreads = 4;

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
      senders(this->settings.shared_key, kCallsPerPeer, kCallTimeout),
      key_workers(kKeyThreads, kWaitingClaims),
      admin_workers(kAdminThreads, kWaitingChanges),
      book(this->settings.services, [this](std::shared_ptr<const ServiceConfiguration> changed) {
        this->core->PostResult(ConfigurationChanged{std::move(changed)});
      }) {}

EntryProcess::~EntryProcess() { this->Stop(); }

EntryCore EntryProcess::MakeCore() {
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
  return {this->self, this->settings.services, std::move(seeds), DrawSeed(), this->guards};
}

std::string EntryProcess::Start() {
  this->core = std::make_unique<CoreThread>(
      this->MakeCore(), this->clock,
      [this](Time posted, const EntryEvent& event, std::vector<EntryAction> actions) {
        this->runner->Run(posted, event, std::move(actions));
      });
  this->inner = std::make_unique<InnerApi>(*this->core, this->book, this->ids);
  this->runner = std::make_unique<ActionRunner>(
      ActionRunner::Parts{*this->core, this->open, *this->inner, this->senders, this->keys,
                          this->key_workers, this->metrics, this->clock, [this] {
                            if (!this->departed_set.exchange(true)) {
                              this->departed.set_value();
                            }
                          }});
  this->callers = std::make_unique<CallerApi>(*this->core, this->open, this->book, this->ids);
  this->admin = std::make_unique<AdminApi>(
      AdminApi::Parts{this->settings.name, this->administrators, *this->core, this->book,
                      this->store, this->admin_workers, this->senders, this->leave_requested});
  this->poller = std::make_unique<PlatformPoller>(PlatformPoller::Parts{
      this->book, this->store, this->registry, this->senders, [this] { return this->Status(); },
      [this](std::vector<EntryInfo> entries) {
        this->core->PostResult(EntriesRead{std::move(entries)});
      },
      this->settings.entries});
  this->rpc = std::make_unique<RpcServer>(this->settings.inner_address, this->settings.shared_key,
                                          kRpcThreads);
  this->inner->RegisterWith(*this->rpc);
  this->http = std::make_unique<HttpServer>(
      this->settings.caller_address, [this] { return this->book.MaxBodyBytes(); },
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
  this->core->Start();
  if (!this->rpc->Start()) {
    return "cannot listen on inner_address " + this->settings.inner_address +
           "; free the address or change the settings";
  }
  const std::string problem = this->http->Start();
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
  if (!this->book.IsComplete()) {
    return RenderRefusal({ErrorKind::kNotReady,
                          "a service's configuration is not known yet; apply one or wait for the "
                          "platform"});
  }
  return {200, R"({"status":"ready"})"};
}

void EntryProcess::ServeMetrics(const HttpResponder& respond) {
  const bool posted = this->core->PostStatusRequest([this, respond](const EntryStatus& status) {
    const std::uint64_t sent = this->senders.SentCalls() + this->table.SentRequests();
    respond({200, RenderMetrics(this->metrics, status, sent), "text/plain"});
  });
  if (!posted) {
    respond(RenderRefusal({ErrorKind::kOverloaded, "the entry is overloaded; read them again"}));
  }
}

std::optional<EntryStatus> EntryProcess::Status() {
  auto promise = std::make_shared<std::promise<EntryStatus>>();
  auto future = promise->get_future();
  const bool posted = this->core->PostStatusRequest(
      [promise](const EntryStatus& status) { promise->set_value(status); });
  if (!posted || future.wait_for(kStatusPatience) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

void EntryProcess::Leave() {
  if (!this->core || !this->http) {
    return;
  }
  this->leaving = true;
  Log(LogLevel::kInfo, 3001, "entry_leaving", "name=" + this->settings.name);
  // Callers' connections are not reused from now on, so that none is closed under a request.
  this->http->CloseConnections();
  this->core->PostResult(LeaveRequested{});
  this->departed.get_future().wait();
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
  if (this->rpc) {
    this->rpc->Stop();
  }
  this->key_workers.Stop();
  this->admin_workers.Stop();
  this->senders.Stop();
  if (this->core) {
    this->core->Stop();
  }
}

}  // namespace quetzalvale
