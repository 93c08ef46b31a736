#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <openssl/evp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <future>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

#include "runtime/guard.h"

// The HTTP library of the project reports exceptions of handlers here; the programs' own version
// logs them, which the stand-ins do not need.
namespace quetzalvale {
void ReportUnexpectedError(std::string_view where, std::string_view problem) {
  std::cerr << "stand-in: " << where << ": " << problem << "\n";
}
std::uint64_t UnexpectedErrors() { return 0; }
}  // namespace quetzalvale

namespace rig {
namespace {

using quetzalvale::HttpRequest;
using quetzalvale::HttpResponder;
using quetzalvale::HttpResponse;
using quetzalvale::HttpServer;
using quetzalvale::HttpSession;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kHoldMaxMs = 1000;
constexpr std::size_t kMaxBody = 4U << 20U;

std::int64_t MonotonicMs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

const std::int64_t kStart = MonotonicMs();

std::int64_t UnixMs() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

std::ofstream record_file;
std::mutex record_mutex;

std::string Text(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

bool Parse(const std::string& text, Json::Value& json) {
  Json::CharReaderBuilder builder;
  std::string errors;
  std::istringstream stream(text);
  return Json::parseFromStream(builder, stream, &json, &errors);
}

HttpResponse Reply(int status, const Json::Value& json) { return {status, Text(json)}; }

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

bool CanBind(const std::string& host, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
                    listen(fd, 1) == 0;
  close(fd);
  return free;
}

constexpr int kPortsPerMachine = 8;

int FreeBase(const std::vector<std::string>& hosts) {
  std::random_device device;
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int base = 18000 + static_cast<int>(device() % 1500) * kPortsPerMachine;
    const bool free = std::ranges::all_of(hosts, [base](const std::string& host) {
      for (int i = 0; i < kPortsPerMachine; ++i) {
        if (!CanBind(host, base + i)) return false;
      }
      return true;
    });
    if (free) return base;
  }
  throw std::runtime_error("no free ports");
}

std::string At(const std::string& host, int port) { return host + ":" + std::to_string(port); }

constexpr const char* kPlatformHost = "127.0.0.7";

}  // namespace

std::int64_t NowMs() { return MonotonicMs() - kStart; }

void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void SleepUntil(std::int64_t ms) { SleepMs(ms - NowMs()); }

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  record_file << NowMs() << " " << line << "\n" << std::flush;
}

void JobBook::Add(const std::string& job, TaskTruth truth) {
  const std::lock_guard lock(this->mutex);
  this->jobs[job] = truth;
}

bool JobBook::Find(const std::string& task, TaskTruth& truth) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->jobs.find(task.substr(0, task.find('.')));
  if (found == this->jobs.end()) return false;
  truth = found->second;
  return true;
}

// Store.

Store::Store(const std::string& address, const std::string& front_address)
    : server(
          address, [] { return kMaxBody; },
          [this](const HttpRequest& request, const HttpResponder& respond) {
            this->Handle(request, respond);
          }),
      front_server(
          front_address, [] { return kMaxBody; },
          [this](const HttpRequest& request, const HttpResponder& respond) {
            if (this->fronts_turned_away) {
              respond({503, "{}"});
            } else {
              this->Handle(request, respond);
            }
          }) {
  const std::string problem = this->server.Start() + this->front_server.Start();
  if (!problem.empty()) throw std::runtime_error("the store cannot listen: " + problem);
  this->timer = std::thread([this] {
    while (!this->stopping) {
      SleepMs(5);
      this->AnswerWaiting();
    }
  });
}

Store::~Store() {
  this->stopping = true;
  this->timer.join();
  this->server.Stop(std::chrono::milliseconds(0));
  this->front_server.Stop(std::chrono::milliseconds(0));
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  {
    const std::lock_guard lock(this->mutex);
    this->tables[table][key] = {EncodeBase64(value), ++this->version, false};
  }
  this->AnswerWaiting();
}

Json::Value Store::RowJson(const std::string& table, const std::string& key, const Row& row) const {
  Json::Value json;
  json["table"] = table;
  json["part"] = "";
  json["key"] = key;
  json["ver"] = static_cast<Json::UInt64>(row.version);
  if (row.removed) {
    json["removed"] = true;
  } else {
    json["value"] = row.value;
  }
  return json;
}

bool Store::AnswerFeed(const Waiting& feed, bool last) {
  Json::Value json;
  json["rows"] = Json::Value(Json::arrayValue);
  std::map<std::uint64_t, std::pair<std::string, Row>> changed;
  for (const auto& [key, row] : this->tables[feed.table]) {
    if (row.version > feed.after) changed[row.version] = {key, row};
  }
  if (changed.empty() && !last) return false;
  for (const auto& [ver, item] : changed) {
    json["rows"].append(this->RowJson(feed.table, item.first, item.second));
  }
  json["ver"] = static_cast<Json::UInt64>(this->version);
  json["now_ms"] = static_cast<Json::Int64>(NowMs());
  if (std::getenv("RIG_TRACE") != nullptr) {
    Record("feed " + feed.table + " after " + std::to_string(feed.after) + ": " +
           Text(json["rows"]));
  }
  feed.respond(Reply(kOk, json));
  return true;
}

void Store::AnswerWaiting() {
  const std::lock_guard lock(this->mutex);
  this->waiting.remove_if(
      [this](const Waiting& feed) { return this->AnswerFeed(feed, NowMs() >= feed.until); });
}

void Store::Handle(const HttpRequest& request, const HttpResponder& respond) {
  const auto parameter = [&request](const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  const std::lock_guard lock(this->mutex);
  const std::string call = request.path.size() == 2 ? request.path[1] : "";
  if (std::getenv("RIG_TRACE") != nullptr) Record("store " + request.target + " " + request.body);
  if (call == "rows-get") {
    Json::Value json;
    json["rows"] = Json::Value(Json::arrayValue);
    json["more_pages"] = false;
    const std::string table = parameter("table");
    for (const auto& [key, row] : this->tables[table]) {
      if (row.removed || key < parameter("from")) continue;
      if (json["rows"].size() == 500) {
        json["more_pages"] = true;
        break;
      }
      json["rows"].append(this->RowJson(table, key, row));
    }
    json["ver"] = static_cast<Json::UInt64>(this->version);
    json["now_ms"] = static_cast<Json::Int64>(NowMs());
    respond(Reply(kOk, json));
  } else if (call == "rows-feed") {
    const std::int64_t wait =
        std::min<std::int64_t>(30000, std::atoll(parameter("wait_ms").c_str()));
    Waiting feed{parameter("table"), std::strtoull(parameter("after").c_str(), nullptr, 10),
                 NowMs() + wait, respond};
    if (!this->AnswerFeed(feed, false)) this->waiting.push_back(std::move(feed));
  } else if (call == "rows-tx") {
    Json::Value json;
    if (!Parse(request.body, json)) {
      respond({400, "{}"});
      return;
    }
    for (const Json::Value& row : json["expect"]) {
      const auto& rows = this->tables[row["table"].asString()];
      const auto found = rows.find(row["key"].asString());
      const std::uint64_t has =
          found == rows.end() || found->second.removed ? 0 : found->second.version;
      if (has != row["ver"].asUInt64()) {
        Json::Value conflict;
        conflict["rows"] = Json::Value(Json::arrayValue);
        if (has != 0) {
          conflict["rows"].append(
              this->RowJson(row["table"].asString(), row["key"].asString(), found->second));
        }
        conflict["ver"] = static_cast<Json::UInt64>(this->version);
        respond(Reply(412, conflict));
        return;
      }
    }
    ++this->version;
    for (const Json::Value& row : json["writes"]) {
      this->tables[row["table"].asString()][row["key"].asString()] = {row["value"].asString(),
                                                                      this->version, false};
    }
    for (const Json::Value& row : json["remove"]) {
      this->tables[row["table"].asString()][row["key"].asString()] = {"", this->version, true};
    }
    Json::Value done;
    done["ver"] = static_cast<Json::UInt64>(this->version);
    done["now_ms"] = static_cast<Json::Int64>(NowMs());
    respond(Reply(kOk, done));
  } else {
    respond({404, "{}"});
  }
}

// Worker.

Worker::Worker(Options given, const JobBook& known_jobs)
    : options(std::move(given)), jobs(known_jobs), born(UnixMs()), begun(MonotonicMs()) {
  this->server = std::make_unique<HttpServer>(
      this->options.app, [] { return kMaxBody; },
      [this](const HttpRequest& request, const HttpResponder& respond) {
        this->Handle(request, respond);
      });
  const std::string problem = this->server->Start();
  if (!problem.empty()) throw std::runtime_error("the worker cannot listen: " + problem);
  this->control = std::make_unique<HttpSession>(this->options.control, 2);
  Record("worker " + this->options.id + " starts");
  this->timer = std::thread([this] {
    while (!this->stopping) {
      SleepMs(2);
      this->Turn();
    }
  });
  this->reporter = std::thread([this] {
    std::int64_t next = MonotonicMs() + this->options.first_report_ms;
    bool told = false;
    while (!this->stopping) {
      const bool urgent = this->draining && !told;
      if (MonotonicMs() >= next || urgent) {
        next = MonotonicMs() + this->options.heartbeat_ms;
        told = this->draining;
        this->Report();
      }
      SleepMs(5);
    }
  });
}

Worker::~Worker() { this->Finish("crashed"); }

std::int64_t Worker::Clock() const { return MonotonicMs() - this->begun + 1000; }

void Worker::Report() {
  Json::Value json;
  const bool is_draining = this->draining;
  json["service"] = this->options.service;
  json["addr"] = this->options.app;
  json["zone"] = this->options.zone;
  json["version"] = "v1";
  json["slots"] = 8;
  json["state"] = is_draining ? "draining" : "ready";
  if (is_draining) json["remaining_ms"] = 2000;
  json["cold_left_ms"] = 0;
  json["capacity"]["cpu"] = this->options.cpu;
  json["capacity"]["mem_mb"] = this->options.mem_mb;
  json["capacity"]["gpu"] = 0;
  json["labels"].append("a");
  json["labels"].append("r1-1");
  json["clock_ms"] = static_cast<Json::Int64>(this->Clock());
  json["born"] = static_cast<Json::Int64>(this->born);
  json["seq"] = static_cast<Json::UInt64>(++this->seq);
  const auto result = this->control->SendAndWait(
      {"POST", "/api/Instances.Heartbeat/" + this->options.id, Text(json)},
      std::chrono::milliseconds(1000));
  const auto* response = std::get_if<HttpResponse>(&result);
  const bool acked = response != nullptr && response->status / 100 == 2;
  if (!acked) return;
  ++this->acknowledged;
  if (is_draining && this->drain_acknowledged < 0) {
    this->drain_acknowledged = NowMs();
    Record("worker " + this->options.id + " draining acknowledged");
  }
}

void Worker::Drain() {
  Record("worker " + this->options.id + " drains");
  this->draining = true;
}

void Worker::Leave() {
  if (this->stopping) return;
  Json::Value json;
  json["born"] = static_cast<Json::Int64>(this->born);
  this->control->SendAndWait({"POST", "/api/Instances.Leave/" + this->options.id, Text(json)},
                             std::chrono::milliseconds(1000));
  Record("worker " + this->options.id + " leaves");
  this->Finish("left");
}

void Worker::Crash() {
  Record("worker " + this->options.id + " crashes");
  this->Finish("crashed");
}

void Worker::Finish(const std::string& how) {
  if (this->stopping.exchange(true)) return;
  this->timer.join();
  this->reporter.join();
  {
    const std::lock_guard lock(this->mutex);
    std::vector<std::size_t> left;
    for (const auto& [index, done] : this->running) left.push_back(index);
    for (const std::size_t index : left) this->End(index, how);
    this->holds.clear();
    this->unanswered.clear();
  }
  this->server->Stop(std::chrono::milliseconds(0));
}

std::vector<Run> Worker::Runs() const {
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

std::size_t Worker::Running() const {
  const std::lock_guard lock(this->mutex);
  return this->running.size();
}

void Worker::End(std::size_t index, const std::string& how) {
  Run& run = this->runs[index];
  run.ended = NowMs();
  run.how = how;
  this->running.erase(index);
  auto& highest = this->highest_ended[run.task];
  highest = std::max(highest, run.run);
  this->ended.push_back({++this->last_end, run.task, run.run, how});
  Record("run-end " + run.task + " run=" + std::to_string(run.run) + " at " + run.worker + " " +
         how);
}

void Worker::Turn() {
  const std::lock_guard lock(this->mutex);
  const std::int64_t now = this->Clock();
  std::vector<std::pair<std::size_t, std::string>> over;
  for (const auto& [index, done] : this->running) {
    if (now >= done) {
      over.emplace_back(index, this->runs[index].own_end);
    } else if (now >= this->lease_until) {
      over.emplace_back(index, "lapsed");
    }
  }
  for (const auto& [index, how] : over) this->End(index, how);
  this->late_orders.remove_if([&](const LateOrder& late) {
    if (now < late.at) return false;
    this->CarryOut(late.call, late.order);
    return true;
  });
  this->holds.remove_if([&](const Hold& hold) {
    if (this->ended.empty() && now < hold.until) return false;
    hold.respond(this->Lists());
    return true;
  });
}

HttpResponse Worker::Conflict(const std::string& reason) const {
  Json::Value json;
  json["clock_ms"] = static_cast<Json::Int64>(this->Clock());
  json["born"] = static_cast<Json::Int64>(this->born);
  json["reason"] = reason;
  return Reply(kConflict, json);
}

HttpResponse Worker::Lists() const {
  Json::Value json;
  json["clock_ms"] = static_cast<Json::Int64>(this->Clock());
  json["born"] = static_cast<Json::Int64>(this->born);
  json["running"] = Json::Value(Json::arrayValue);
  json["ended"] = Json::Value(Json::arrayValue);
  for (const auto& [index, done] : this->running) {
    const Run& run = this->runs[index];
    Json::Value row(Json::arrayValue);
    row.append(run.task);
    row.append(static_cast<Json::UInt64>(run.run));
    row.append("");
    row.append(0);
    row.append(1000);
    json["running"].append(row);
  }
  for (const Ended& end : this->ended) {
    if (json["ended"].size() == 500) break;
    Json::Value row(Json::arrayValue);
    row.append(static_cast<Json::UInt64>(end.number));
    row.append(end.task);
    row.append(static_cast<Json::UInt64>(end.run));
    row.append(end.how);
    row.append("");
    json["ended"].append(row);
  }
  return Reply(kOk, json);
}

void Worker::TakeDeadline(const Json::Value& order) {
  if (!order["deadline_ms"].isInt64()) return;
  this->lease_until = std::max(
      this->lease_until, std::min(order["deadline_ms"].asInt64(), this->Clock() + kHoldMaxMs));
}

HttpResponse Worker::Start(const Json::Value& order) {
  const std::string task = order["task"].asString();
  const std::uint64_t number = order["run"].asUInt64();
  Json::Value ok;
  ok["clock_ms"] = static_cast<Json::Int64>(this->Clock());
  ok["born"] = static_cast<Json::Int64>(this->born);
  int used = 0;
  for (const auto& [index, done] : this->running) {
    const Run& run = this->runs[index];
    if (run.task == task && run.run == number) return Reply(kOk, ok);
    TaskTruth truth;
    this->jobs.Find(run.task, truth);
    used += truth.cpu;
  }
  if (order["deadline_ms"].asInt64() <= this->Clock()) return this->Conflict("late");
  const auto highest = this->highest_ended.find(task);
  if (highest != this->highest_ended.end() && number <= highest->second) {
    this->TakeDeadline(order);
    return this->Conflict("old");
  }
  TaskTruth truth;
  if (!this->jobs.Find(task, truth)) {
    Record("run-start of an unknown task " + task);
    return {400, "{}"};
  }
  if (used + truth.cpu > this->options.cpu) {
    this->TakeDeadline(order);
    return this->Conflict("room");
  }
  this->TakeDeadline(order);
  static std::mt19937 random{std::random_device{}()};
  const bool fails = std::uniform_real_distribution<double>(0, 1)(random) < truth.fails;
  this->runs.push_back(
      {task, number, this->options.id, NowMs(), -1, "", fails ? "failed" : "done"});
  this->running[this->runs.size() - 1] =
      this->Clock() + static_cast<std::int64_t>(truth.work_ms / this->options.speed);
  Record("run-start " + task + " run=" + std::to_string(number) + " at " + this->options.id);
  return Reply(kOk, ok);
}

HttpResponse Worker::Stop(const Json::Value& order) {
  const std::string task = order["task"].asString();
  const std::uint64_t number = order["run"].asUInt64();
  auto& highest = this->highest_ended[task];
  highest = std::max(highest, number);
  std::vector<std::size_t> stopped;
  for (const auto& [index, done] : this->running) {
    if (this->runs[index].task == task && this->runs[index].run == number) stopped.push_back(index);
  }
  for (const std::size_t index : stopped) this->End(index, "stopped");
  Json::Value ok;
  ok["clock_ms"] = static_cast<Json::Int64>(this->Clock());
  ok["born"] = static_cast<Json::Int64>(this->born);
  return Reply(kOk, ok);
}

void Worker::Handle(const HttpRequest& request, const HttpResponder& respond) {
  const std::string call = request.path.size() == 2 ? request.path[1] : "";
  const std::string expected = request.Header("x-expect-instance");
  if (!expected.empty() && expected != this->options.id) {
    respond({421, "{}"});
    return;
  }
  Json::Value order;
  if (request.method != "POST" || !Parse(request.body, order) || !order.isObject()) {
    respond({400, "{}"});
    return;
  }
  const std::lock_guard lock(this->mutex);
  static std::mt19937 random{std::random_device{}()};
  const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
  if (drawn < this->options.applied_late) {
    const auto delay = std::uniform_int_distribution<std::int64_t>(2000, 12000)(random);
    this->late_orders.push_back({this->Clock() + delay, call, order});
    this->unanswered.push_back(respond);
    return;
  }
  const bool is_hold = call == "hold";
  const std::int64_t wait = order["wait_ms"].isInt64() ? order["wait_ms"].asInt64() : 0;
  const HttpResponse response = this->CarryOut(call, order);
  if (drawn < this->options.applied_late + this->options.lost_answers) {
    this->unanswered.push_back(respond);
  } else if (is_hold && response.status == kOk && wait > 0 && this->ended.empty()) {
    this->holds.push_back({this->Clock() + std::min<std::int64_t>(wait, 2000), respond});
  } else {
    respond(response);
  }
}

HttpResponse Worker::CarryOut(const std::string& call, const Json::Value& order) {
  const std::uint64_t given = order["fence"].isUInt64() ? order["fence"].asUInt64() : 0;
  if (given < this->fence) return this->Conflict("fence");
  this->fence = given;
  if (call == "run-start") return this->Start(order);
  if (call == "run-stop") return this->Stop(order);
  if (call != "hold") return {404, "{}"};
  const std::uint64_t seen = order["seen_upto"].isUInt64() ? order["seen_upto"].asUInt64() : 0;
  this->ended.remove_if([seen](const Ended& end) { return end.number <= seen; });
  this->TakeDeadline(order);
  return this->Lists();
}

// Deployment.

Deployment::Deployment(std::string given_repository, std::string given_folder,
                       const std::vector<std::string>& hosts)
    : repository(std::move(given_repository)), folder(std::move(given_folder)) {
  std::vector<std::string> all = hosts;
  all.push_back(kPlatformHost);
  const int base = FreeBase(all);
  this->ports = {base, base + 1, base + 2, base + 3, base + 5, base + 6, base + 7};
  this->platform = std::make_unique<Store>(At(kPlatformHost, this->ports.store),
                                           At(kPlatformHost, this->ports.front_store));
}

Deployment::~Deployment() {
  for (auto& [host, pid] : this->processes) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

std::string Deployment::Caller(const std::string& host) const {
  return At(host, this->ports.caller);
}
std::string Deployment::Ready(const std::string& host) const { return At(host, this->ports.ready); }
std::string Deployment::Control(const std::string& host) const {
  return At(host, this->ports.control);
}
std::string Deployment::App(const std::string& host) const { return At(host, this->ports.app); }

void Deployment::StartFront(const std::string& host, const std::string& name) {
  Json::Value settings;  // As deploy/entry.json.template lays them out.
  settings["name"] = name;
  settings["data_centre"] = "z1";
  settings["inner_host"] = host;
  settings["inner_ports"].append(this->ports.inner);
  settings["inner_ports"].append(this->ports.inner + 1);
  settings["processor_share"] = 0.25;
  settings["processor_speed"] = 1;
  settings["store_address"] = At(kPlatformHost, this->ports.front_store);
  settings["ready_address"] = this->Ready(host);
  settings["caller_address"] = this->Caller(host);
  settings["longest_lease_ms"] = kHoldMaxMs;
  settings["remote_data_factor"] = 1.5;
  settings["stop_grace_s"] = 6;
  settings["log_level"] = "info";
  this->Launch(host, "target/quetzalvale-platform-entry", settings);
}

void Deployment::StartSide(const std::string& host, const std::string& name) {
  Json::Value settings;  // As deploy/agent.json.template lays them out.
  settings["name"] = name;
  settings["data_centre"] = "z1";
  settings["inner_host"] = host;
  settings["inner_ports"].append(this->ports.inner);
  settings["inner_ports"].append(this->ports.inner + 1);
  settings["store_address"] = At(kPlatformHost, this->ports.store);
  settings["report_address"] = this->Control(host);
  settings["worker_address"] = this->App(host);
  settings["longest_lease_ms"] = kHoldMaxMs;
  settings["stop_grace_s"] = 6;
  settings["log_level"] = "info";
  this->Launch(host, "target/quetzalvale-platform-agent", settings);
}

void Deployment::Launch(const std::string& host, const std::string& program,
                        const Json::Value& settings) {
  const std::lock_guard lock(this->mutex);
  const std::string name = settings["name"].asString();
  const std::string file = this->folder + "/" + name + ".json";
  std::ofstream(file) << Text(settings);
  const std::string path = this->repository + "/" + program;
  const std::string argument = "--settings=" + file;
  const std::string log = this->folder + "/" + name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    if (chdir(this->repository.c_str()) != 0) _exit(126);
    execl(path.c_str(), program.c_str(), argument.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  this->processes[host] = pid;
  Record("start " + name + " on " + host);
}

void Deployment::Signal(const std::string& host, int signal) {
  const std::lock_guard lock(this->mutex);
  const pid_t pid = this->processes.at(host);
  Record("signal " + std::to_string(signal) + " to the process on " + host);
  kill(pid, signal);
  if (signal == SIGKILL) {
    waitpid(pid, nullptr, 0);
    this->processes.erase(host);
  }
}

bool Deployment::HasEnded(const std::string& host) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->processes.find(host);
  if (found == this->processes.end()) return true;
  if (waitpid(found->second, nullptr, WNOHANG) != found->second) return false;
  this->processes.erase(found);
  Record("the process on " + host + " has ended");
  return true;
}

bool Deployment::WaitReady(const std::string& host, std::int64_t for_ms) {
  const std::int64_t until = NowMs() + for_ms;
  while (NowMs() < until) {
    if (Call(this->Ready(host), "GET", "/api/ready", "", "", 500).status == kOk) return true;
    SleepMs(50);
  }
  return false;
}

// Callers.

Answer Call(const std::string& address, const std::string& method, const std::string& target,
            const std::string& host_header, const std::string& body, std::int64_t patience_ms,
            std::int64_t deadline_ms) {
  HttpSession session(address, 1);
  quetzalvale::OutgoingRequest request{method, target, body};
  if (!host_header.empty()) request.headers["Host"] = host_header;
  request.headers["X-Deadline-Ms"] = std::to_string(deadline_ms > 0 ? deadline_ms : patience_ms);
  const auto result =
      session.SendAndWait(std::move(request), std::chrono::milliseconds(patience_ms));
  if (const auto* response = std::get_if<HttpResponse>(&result)) {
    return {response->status, response->body};
  }
  return {0, std::get<quetzalvale::HttpFailure>(result).message};
}

std::string JobBody(int count, int cpu, int mem_mb, std::int64_t est_ms) {
  Json::Value job;
  job["spec"] = "quote";
  job["best_effort"] = true;
  Json::Value step;
  step["count"] = count;
  step["cpu"] = cpu;
  step["mem_mb"] = mem_mb;
  step["est_ms"] = static_cast<Json::Int64>(est_ms);
  job["steps"].append(step);
  return Text(job);
}

void PutConfig(Store& store, std::uint64_t version, const Queue& queue, std::int64_t timeout_ms,
               double stretch, std::int64_t slo_ms) {
  Json::Value config;
  config["version"] = static_cast<Json::UInt64>(version);
  const std::pair<const char*, const std::string&> kinds[] = {{"pallet-quote", queue.prefix},
                                                              {"stock-check", queue.quick_prefix},
                                                              {"slot-booking", queue.slot_prefix}};
  for (const auto& [name, prefix] : kinds) {
    Json::Value route;
    route["name"] = name;
    route["host"] = queue.host;
    route["prefix"] = prefix;
    route["service"] = "order-desk";
    route["timeout_ms"] = static_cast<Json::Int64>(timeout_ms);
    route["max_attempts"] = 2;
    route["priority"] = 2;
    route["stretch"] = stretch;
    route["slo_ms"] = static_cast<Json::Int64>(slo_ms);
    config["routes"].append(route);
  }
  Json::Value service;
  service["name"] = "order-desk";
  service["admission_control"] = true;
  config["services"].append(service);
  config["limits"]["max_body_bytes"] = 262144;
  store.Put("op", "config", Text(config));
  Record("config version " + std::to_string(version));
}

std::string JobName(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex;
  text.width(16);
  text.fill('0');
  text << (0x5c0e7a21d9400000ULL + number);
  return text.str();
}

bool Calm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

int Main(int argc, char** argv, const std::function<int(Deployment&)>& play,
         const std::vector<std::string>& hosts) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    std::cerr << "usage: " << argv[0] << " REPOSITORY RECORD FOLDER\n";
    return kCouldNotRun;
  }
  record_file.open(argv[2], std::ios::trunc);
  int code = kCouldNotRun;
  try {
    Deployment deployment(argv[1], argv[3], hosts);
    code = play(deployment);
  } catch (const std::exception& failure) {
    Record(std::string("could not run: ") + failure.what());
  }
  Record("exit " + std::to_string(code));
  std::cout << (code == kHeld ? "held" : code == kBroken ? "broken" : "could not run") << "\n";
  return code;
}

}  // namespace rig
