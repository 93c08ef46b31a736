#include "standin/endpoint_server.h"

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/codec.h"
#include "runtime/log.h"

namespace quetzalvale {
namespace {

constexpr std::size_t kMaxBodyBytes = 16U << 20U;
constexpr std::chrono::milliseconds kStopPatience{10000};
constexpr double kThrottleFactor = 2;
constexpr int kMalformed = 400;
constexpr int kNotFound = 404;

HttpResponse Problem(int status, const std::string& message) {
  Json::Value body;
  body["message"] = message;
  return {status, WriteJson(body)};
}

/// Amounts that are not given are zero. Returns nothing when one is not a number.
std::optional<Resources> ReadAmounts(const Json::Value& json) {
  TaskSpec spec;
  const Json::Value& cores = json["cores"];
  const Json::Value& memory = json["memory_mb"];
  const Json::Value& accelerators = json["accelerators"];
  if ((!cores.isNull() && !cores.isNumeric()) || (!memory.isNull() && !memory.isInt64()) ||
      (!accelerators.isNull() && !accelerators.isInt())) {
    return std::nullopt;
  }
  spec.cores = cores.asDouble();
  spec.memory_mb = memory.asInt64();
  spec.accelerators = accelerators.asInt();
  return DeclaredBy(spec);
}

bool ReadTask(const Json::Value& body, EndpointTask* task) {
  const Json::Value& payload = body["payload"];
  if (!body["task"].isString() || !body["lease_ms"].isInt64() || !payload.isObject() ||
      !payload["run_ms"].isNumeric() || !(payload["uses"].isNull() || payload["uses"].isObject()) ||
      !(payload["fail"].isNull() || payload["fail"].isBool())) {
    return false;
  }
  task->task = body["task"].asString();
  task->lease = Milliseconds(body["lease_ms"].asInt64());
  task->run_ms = payload["run_ms"].asDouble();
  task->fail = payload["fail"].asBool();
  task->echo = payload["echo"];
  const std::optional<Resources> declared = ReadAmounts(body);
  const std::optional<Resources> used =
      payload["uses"].isNull() ? declared : ReadAmounts(payload["uses"]);
  if (!declared || !used) {
    return false;
  }
  task->declared = *declared;
  task->used = *used;
  return task->run_ms >= 0 && task->lease > Milliseconds(0);
}

std::string Join(const std::vector<std::string>& path) {
  std::string joined;
  for (const auto& segment : path) {
    joined += "/" + segment;
  }
  return joined;
}

}  // namespace

EndpointServer::EndpointServer(const std::string& address, EndpointOptions options,
                               EndpointControl control, EndpointJournal& journal)
    : journal(journal),
      worker(options, control, journal),
      http(
          address, [] { return kMaxBodyBytes; },
          [this](const HttpRequest& request, const HttpResponder& respond) {
            this->Handle(request, respond);
          }) {}

EndpointServer::~EndpointServer() { this->Stop(); }

std::string EndpointServer::Start() {
  std::string problem = this->http.Start();
  if (problem.empty()) {
    this->timers = std::thread([this] { this->RunTimers(); });
  }
  return problem;
}

void EndpointServer::Stop() {
  this->http.Stop(this->timers.joinable() ? kStopPatience : std::chrono::milliseconds(0));
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  if (this->timers.joinable()) {
    this->timers.join();
  }
}

void EndpointServer::RunTimers() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    this->worker.Advance(Time::clock::now());
    this->changed.wait_until(lock, this->worker.NextDue());
  }
}

void EndpointServer::Handle(const HttpRequest& request, const HttpResponder& respond) {
  const std::string path = Join(request.path);
  const std::lock_guard lock(this->mutex);
  const Time now = Time::clock::now();
  if (request.method == "GET") {
    this->HandleGet(now, path, respond);
    return;
  }
  const Result<Json::Value> body = ReadJson(request.body);
  if (request.method != "POST" || !IsOk(body) || !std::get<Json::Value>(body).isObject()) {
    respond(Problem(kMalformed, "use GET, or POST with a JSON object"));
    return;
  }
  this->HandlePost(now, path, std::get<Json::Value>(body), respond);
  this->changed.notify_all();
}

void EndpointServer::HandleGet(Time now, const std::string& path, const HttpResponder& respond) {
  if (path == "/usage") {
    this->worker.Advance(now);
    this->worker.Answer(now, respond, {200, WriteJson(this->worker.Usage(now))});
  } else if (path == "/journal") {
    this->worker.Advance(now);
    Json::Value journal = this->journal.ToJson();
    journal["peak_declared"] = this->worker.PeakDeclared();
    respond({200, WriteJson(journal)});
  } else if (path == "/control") {
    respond({200, WriteJson(ControlToJson(this->worker.Control()))});
  } else if (path == "/metrics") {
    respond({200,
             "running " + std::to_string(this->worker.Running()) + "\nstarts_total " +
                 std::to_string(this->journal.Size()) + "\n",
             "text/plain"});
  } else {
    respond(Problem(kNotFound, "no such path"));
  }
}

void EndpointServer::HandlePost(Time now, const std::string& path, const Json::Value& body,
                                const HttpResponder& respond) {
  if (path == "/tasks") {
    this->StartTask(now, body, respond);
  } else if (path == "/leases") {
    this->Renew(now, body, respond);
  } else if (path == "/control") {
    this->ChangeFaults(now, body, respond);
  } else {
    this->ChangeTask(now, path, body, respond);
  }
}

void EndpointServer::StartTask(Time now, const Json::Value& body, const HttpResponder& respond) {
  EndpointTask task;
  if (ReadTask(body, &task)) {
    this->worker.Start(now, task, respond);
  } else {
    this->worker.Answer(now, respond,
                        Problem(kMalformed,
                                "give task, lease_ms above 0 and payload.run_ms; cores, "
                                "memory_mb and accelerators must be numbers"));
  }
}

void EndpointServer::Renew(Time now, const Json::Value& body, const HttpResponder& respond) {
  std::vector<std::string> tasks;
  for (const auto& task : body["tasks"]) {
    if (task.isString()) {
      tasks.push_back(task.asString());
    }
  }
  if (!body["lease_ms"].isInt64()) {
    this->worker.Answer(now, respond, Problem(kMalformed, "give tasks and lease_ms"));
    return;
  }
  Json::Value reply;
  reply["renewed"] = this->worker.Renew(now, tasks, Milliseconds(body["lease_ms"].asInt64()));
  this->worker.Answer(now, respond, {200, WriteJson(reply)});
}

void EndpointServer::ChangeTask(Time now, const std::string& path, const Json::Value& body,
                                const HttpResponder& respond) {
  const std::string task = body["task"].isString() ? body["task"].asString() : std::string();
  Json::Value reply;
  reply["task"] = task;
  bool found = false;
  if (path == "/tasks/stop") {
    found = this->worker.Stop(now, task);
  } else if (path == "/tasks/throttle") {
    found = this->worker.Throttle(now, task, kThrottleFactor);
  } else if (path == "/tasks/checkpoint") {
    const std::optional<double> progress = this->worker.Checkpoint(now, task);
    found = progress.has_value();
    reply["progress"] = progress.value_or(0);
  }
  this->worker.Answer(now, respond,
                      found ? HttpResponse{200, WriteJson(reply)}
                            : Problem(kNotFound, "no such path, or the task does not run"));
}

void EndpointServer::ChangeFaults(Time now, const Json::Value& body, const HttpResponder& respond) {
  const Result<EndpointControl> control = ChangeControl(this->worker.Control(), body);
  if (!IsOk(control)) {
    respond(Problem(kMalformed, GetError(control).message));
    return;
  }
  this->worker.SetControl(now, std::get<EndpointControl>(control));
  Log(LogLevel::kInfo, 4003, "faults_changed", WriteJson(body));
  respond({200, WriteJson(ControlToJson(this->worker.Control()))});
}

}  // namespace quetzalvale
