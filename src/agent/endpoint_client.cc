#include "agent/endpoint_client.h"

#include <json/value.h>
#include <json/writer.h>

#include <optional>
#include <shared_mutex>
#include <utility>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

/// The endpoint holds a task's request open until the task ends, so this bounds only tasks whose
/// endpoint vanished without closing the connection.
constexpr std::chrono::hours kTaskTimeout{1};
/// Shorter than a lease, so that a lost renewal is noticed in time.
constexpr Milliseconds kControlTimeout{2000};
/// Control requests waiting behind a slow one; renewals come at most a few times per second.
constexpr std::size_t kMaxWaiting = 256;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// The members of a task request that say what the task declares; none for what it does not.
std::string Declared(const Resources& declared) {
  std::string members;
  if (declared.millicores > 0) {
    const double cores = static_cast<double>(declared.millicores) / 1000;
    members += ",\"cores\":" + WriteJson(Json::Value(cores));
  }
  if (declared.memory_mb > 0) {
    members += ",\"memory_mb\":" + std::to_string(declared.memory_mb);
  }
  if (declared.accelerators > 0) {
    members += ",\"accelerators\":" + std::to_string(declared.accelerators);
  }
  return members;
}

/// The payload is the caller's JSON text and passes unchanged.
std::string TaskBody(const StartOnEndpoint& start) {
  return "{\"task\":" + Json::valueToQuotedString(start.task.Text().c_str()) +
         ",\"kind\":" + Json::valueToQuotedString(start.kind.c_str()) +
         ",\"lease_ms\":" + std::to_string(start.lease.count()) + Declared(start.declared) +
         ",\"payload\":" + start.payload + "}";
}

std::string Member(const Json::Value& json, const char* name) {
  return json.isObject() && json[name].isString() ? json[name].asString() : std::string();
}

Outcome ReadOutcome(const TaskKey& task, const HttpResponse& response, Microseconds run_time) {
  Outcome outcome;
  outcome.task = task;
  outcome.run_time = run_time;
  if (response.status != kOk) {
    outcome.reason = "endpoint_status_" + std::to_string(response.status);
    return outcome;
  }
  const Result<Json::Value> parsed = ReadJson(response.body);
  const Json::Value json = IsOk(parsed) ? std::get<Json::Value>(parsed) : Json::Value();
  const std::string status = Member(json, "status");
  if (status == "ok") {
    outcome.ok = true;
    outcome.result = WriteJson(json["result"]);
  } else if (status == "failed") {
    const std::string reason = Member(json, "reason");
    outcome.reason = reason.empty() ? "endpoint_failed" : reason;
  } else {
    outcome.reason = "endpoint_answer_malformed";
  }
  return outcome;
}

/// Reads the worker's report. Entries that are not well-formed are left out: usage is only logged.
UsageReported ReadUsage(const HttpResponse& response) {
  UsageReported report;
  const Result<Json::Value> parsed = ReadJson(response.body);
  if (!IsOk(parsed) || !std::get<Json::Value>(parsed).isObject()) {
    return report;
  }
  const Json::Value& tasks = std::get<Json::Value>(parsed)["tasks"];
  for (const Json::Value& item : tasks.isArray() ? tasks : Json::Value(Json::arrayValue)) {
    const std::optional<TaskKey> task = TaskKey::Parse(Member(item, "task"));
    if (task && item["cores"].isNumeric() && item["memory_mb"].isInt64() &&
        item["accelerators"].isInt()) {
      report.tasks.push_back({*task, item["cores"].asDouble(), item["memory_mb"].asInt64(),
                              item["accelerators"].asInt()});
    }
  }
  return report;
}

AgentEvent ToEvent(const TaskKey& task, const HttpResult& result, Microseconds run_time) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    if (failure->not_sent) {
      return EndpointRefused{task, "unreachable"};
    }
    return EndpointFinished{task, Error{ErrorKind::kTimeout, failure->message}};
  }
  const auto& response = std::get<HttpResponse>(result);
  if (response.status == kUnavailable) {
    return EndpointRefused{task, "endpoint_busy"};
  }
  return EndpointFinished{task, ReadOutcome(task, response, run_time)};
}

}  // namespace

struct EndpointClient::State : public std::enable_shared_from_this<EndpointClient::State> {
  struct Control {
    OutgoingRequest request;
    /// The result tells whether the endpoint is up.
    bool is_check = false;
    /// The answer is a usage report.
    bool is_usage = false;
  };

  State(const std::string& url, int connections, Metrics& metrics, Report report,
        MakeTaskClient make_task_client)
      : connections(connections),
        metrics(metrics),
        report(std::move(report)),
        make_task_client(std::move(make_task_client)),
        control(url, kControlTimeout) {}

  /// Returns whether one more task may be open, and counts it.
  bool TakeConnection() {
    const std::lock_guard lock(this->mutex);
    if (this->open_tasks >= this->connections) {
      return false;
    }
    ++this->open_tasks;
    return true;
  }

  void TaskEnded(const TaskKey& task, const HttpResult& result, Time sent) {
    const auto run_time = std::chrono::duration_cast<Microseconds>(Time::clock::now() - sent);
    AgentEvent event = ToEvent(task, result, run_time);
    {
      const std::lock_guard lock(this->mutex);
      --this->open_tasks;
    }
    this->ReportUnlessClosed(std::move(event));
  }

  /// The report may wait for the decision thread, which takes `mutex`; so that one is not held.
  void ReportUnlessClosed(AgentEvent event) {
    const std::shared_lock lock(this->closing);
    if (this->closed) {
      return;
    }
    if (std::holds_alternative<EndpointFinished>(event)) {
      this->metrics.Add("messages_useful_total");
    }
    this->report(std::move(event));
  }

  void SendControl(Control next) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->control_under_way) {
        if (this->waiting.size() < kMaxWaiting) {
          this->waiting.push_back(std::move(next));
        }
        return;
      }
      this->control_under_way = true;
    }
    this->SendNow(std::move(next));
  }

  void SendNow(Control next) {
    const bool is_check = next.is_check;
    const bool is_usage = next.is_usage;
    {
      const std::shared_lock lock(this->closing);
      if (this->closed) {
        return;
      }
      this->metrics.Add("endpoint_requests_total");
    }
    auto self = this->shared_from_this();
    this->control.Send(std::move(next.request),
                       [self, is_check, is_usage](const HttpResult& result) {
                         self->ControlEnded(is_check, is_usage, result);
                       });
  }

  void ControlEnded(bool is_check, bool is_usage, const HttpResult& result) {
    const auto* response = std::get_if<HttpResponse>(&result);
    if (is_check) {
      this->ReportUnlessClosed(EndpointChecked{response != nullptr && response->status == kOk});
    }
    if (is_usage && response != nullptr && response->status == kOk) {
      this->ReportUnlessClosed(ReadUsage(*response));
    }
    std::optional<Control> next;
    {
      const std::lock_guard lock(this->mutex);
      if (this->waiting.empty()) {
        this->control_under_way = false;
        return;
      }
      next = std::move(this->waiting.front());
      this->waiting.pop_front();
    }
    this->SendNow(*std::move(next));
  }

  const int connections;
  Metrics& metrics;
  const Report report;
  const MakeTaskClient make_task_client;
  HttpClient control;
  std::mutex mutex;
  int open_tasks = 0;
  bool control_under_way = false;
  std::deque<Control> waiting;
  std::shared_mutex closing;
  bool closed = false;
};

EndpointClient::EndpointClient(const std::string& url, int connections, Metrics& metrics,
                               Report report)
    : EndpointClient(url, connections, metrics, std::move(report),
                     [url] { return std::make_shared<HttpClient>(url, kTaskTimeout); }) {}

EndpointClient::EndpointClient(const std::string& url, int connections, Metrics& metrics,
                               Report report, MakeTaskClient make_task_client)
    : state(std::make_shared<State>(url, connections, metrics, std::move(report),
                                    std::move(make_task_client))) {}

EndpointClient::~EndpointClient() {
  const std::unique_lock lock(this->state->closing);
  this->state->closed = true;
}

void EndpointClient::Start(const StartOnEndpoint& start) {
  if (!this->state->TakeConnection()) {
    this->state->report(EndpointRefused{start.task, "connections"});
    return;
  }
  this->state->metrics.Add("endpoint_requests_total");
  OutgoingRequest request;
  request.method = "POST";
  request.target = "/tasks";
  request.body = TaskBody(start);
  request.once = true;
  // The pool of connections belongs to the client. "Connection: close" alone does not keep a task
  // off a pooled connection: a server may leave the connection open all the same.
  std::shared_ptr<HttpClient> client = this->state->make_task_client();
  auto shared = this->state;
  client->Send(std::move(request),
               [shared, client, task = start.task, sent = Time::clock::now()](
                   const HttpResult& result) { shared->TaskEnded(task, result, sent); });
}

void EndpointClient::Stop(const TaskKey& task) {
  Json::Value body;
  body["task"] = task.Text();
  this->state->SendControl({OutgoingRequest{"POST", "/tasks/stop", WriteJson(body), "", false}});
}

void EndpointClient::Renew(const std::vector<TaskKey>& tasks, Milliseconds lease) {
  Json::Value body;
  body["tasks"] = Json::Value(Json::arrayValue);
  for (const auto& task : tasks) {
    body["tasks"].append(task.Text());
  }
  body["lease_ms"] = static_cast<Json::Int64>(lease.count());
  this->state->SendControl({OutgoingRequest{"POST", "/leases", WriteJson(body), "", false}, true});
}

void EndpointClient::Check() {
  this->state->SendControl({OutgoingRequest{"GET", "/usage", "", "", false}, true});
}

void EndpointClient::PollUsage() {
  this->state->SendControl({OutgoingRequest{"GET", "/usage", "", "", false}, false, true});
}

}  // namespace quetzalvale
