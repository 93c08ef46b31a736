#include "agent/agent_process.h"

#include <algorithm>
#include <utility>

#include "agent/endpoint_client.h"
#include "http/connection_report.h"
#include "runtime/entropy.h"
#include "runtime/log.h"
#include "runtime/process_usage.h"

namespace quetzalvale {
namespace {

constexpr std::size_t kCallsPerPeer = 1024;
constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kResponsePatience{1000};
/// The listener serves GET requests only.
constexpr std::size_t kMaxBodyBytes = 4096;

AgentIdentity MakeIdentity(const ProcessSettings& settings) {
  AgentIdentity identity{DrawIncarnation(),
                         settings.name,
                         settings.services.at(0),
                         settings.data_centre,
                         settings.advertised_address,
                         settings.worker,
                         settings.labels,
                         settings.endpoint_incarnation};
  // Every running task holds a connection.
  identity.worker.slots = std::min(identity.worker.slots, identity.worker.connections);
  return identity;
}

}  // namespace

AgentProcess::AgentProcess(ProcessSettings settings, std::function<void()> leave_requested,
                           AgentGuards guards)
    : AgentProcess(settings, std::move(leave_requested), std::move(guards),
                   [this, url = settings.endpoint](Endpoint::Report report) {
                     return std::make_unique<EndpointClient>(url, this->identity.worker.connections,
                                                             this->metrics, std::move(report));
                   }) {}

AgentProcess::AgentProcess(ProcessSettings settings, std::function<void()> leave_requested,
                           AgentGuards guards, const MakeEndpoint& make_endpoint)
    : settings(std::move(settings)),
      leave_requested(std::move(leave_requested)),
      identity(MakeIdentity(this->settings)),
      core(this->identity, this->settings.entries, std::move(guards)),
      senders(this->settings.shared_key, kCallsPerPeer, kCallTimeout),
      thread(this->core, this->clock, this->metrics,
             [this](const AgentAction& action) { this->runner->Run(action); }),
      inner(this->thread, this->leave_requested),
      rpc(this->settings.inner_address, this->settings.shared_key),
      endpoint(
          make_endpoint([this](AgentEvent event) { this->thread.PostResult(std::move(event)); })) {
  this->runner = std::make_unique<ActionRunner>(
      ActionRunner::Parts{this->identity.service, this->thread, *this->endpoint, this->inner,
                          this->senders, this->metrics, [this] { this->departed.set_value(); }});
}

AgentProcess::~AgentProcess() { this->Stop(); }

std::string AgentProcess::Start() {
  this->inner.RegisterWith(this->rpc);
  // The address must be served before the first announcement names it.
  if (!this->rpc.Start()) {
    return "cannot listen on inner_address " + this->settings.inner_address +
           "; free the address or change the settings";
  }
  std::string problem = this->StartMetricsListener();
  if (!problem.empty()) {
    return problem;
  }
  this->thread.Start();
  Log(LogLevel::kInfo, 2000, "agent_started",
      "name=" + this->identity.name + " incarnation=" + this->identity.incarnation.Text() +
          " inner_address=" + this->settings.inner_address +
          " endpoint=" + this->settings.endpoint);
  return "";
}

std::string AgentProcess::StartMetricsListener() {
  if (this->settings.caller_address.empty()) {
    return "";
  }
  this->http = std::make_unique<HttpServer>(
      this->settings.caller_address, [] { return kMaxBodyBytes; },
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
  const std::string problem = this->http->Start();
  if (problem.empty()) {
    return "";
  }
  return "cannot listen on caller_address " + this->settings.caller_address + " (" + problem +
         "); free the address or change the settings";
}

void AgentProcess::Handle(const HttpRequest& request, const HttpResponder& respond) {
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  const bool is_get = request.method == "GET" && request.path.size() == 1;
  if (is_get && request.path[0] == "metrics") {
    respond({200, this->MetricsText(), Metrics::kContentType});
  } else if (is_get && request.path[0] == "ready") {
    const bool ready = this->thread.IsReady();
    respond({ready ? 200 : kUnavailable,
             ready
                 ? R"({"status":"ready"})"
                 : R"({"status":"not_ready","message":"the agent is leaving or its endpoint does )"
                   R"(not answer; check the endpoint"})"});
  } else {
    respond({kNotFound, R"({"status":"refused","message":"use GET /metrics or GET /ready"})"});
  }
}

std::string AgentProcess::MetricsText() {
  ReportProcess(this->metrics);
  this->metrics.Set("evacuated", this->thread.IsEvacuated() ? 1 : 0);
  ReportConnections(*ConnectionTable::OfProcess(), this->metrics);
  // Requests to the endpoint are counted as they are sent, inner calls by their senders.
  const auto inner_calls = static_cast<double>(this->senders.SentCalls());
  const auto requests = static_cast<double>(this->metrics.Count("endpoint_requests_total"));
  this->metrics.SetTotal("inner_calls_sent_total", inner_calls);
  this->metrics.SetTotal("messages_sent_total", inner_calls + requests);
  return this->metrics.Text();
}

void AgentProcess::SetListedEntries(std::vector<std::string> addresses) {
  this->thread.PostResult(EntriesListed{std::move(addresses)});
}

void AgentProcess::Leave() {
  this->thread.PostResult(LeaveRequested{});
  this->departed.get_future().wait();
  this->Stop();
  Log(LogLevel::kInfo, 2001, "agent_stopped", "name=" + this->identity.name);
}

void AgentProcess::Stop() {
  this->rpc.Stop();
  if (this->http) {
    this->http->Stop(kResponsePatience);
  }
  this->senders.Stop();
  this->thread.Stop();
}

}  // namespace quetzalvale
