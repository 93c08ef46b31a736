/// Stand-ins of the platform, the workers and the callers for the scripts of this review. They
/// speak what the users' pages say and nothing else; the deployed programs run as processes of
/// their own.
#pragma once

#include <json/json.h>
#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/http_loop.h"
#include "http/http_server.h"
#include "http/http_session.h"

namespace rig {

/// Milliseconds since the rig was started.
std::int64_t NowMs();
void SleepUntil(std::int64_t ms);
void SleepMs(std::int64_t ms);

/// Writes one line with the time to record.txt. Thread-safe.
void Record(const std::string& line);

/// What a worker has to know of a task and the orders do not carry: the task's own behaviour.
struct TaskTruth {
  int cpu = 1000;
  std::int64_t work_ms = 100;
  /// Share of the runs that end `failed` by the task's own fault.
  double fails = 0;
};

/// The jobs that callers have submitted, by name.
class JobBook {
 public:
  void Add(const std::string& job, TaskTruth truth);
  bool Find(const std::string& task, TaskTruth& truth) const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, TaskTruth> jobs;
};

/// The platform's metadata store: rows only.
class Store {
 public:
  /// The fronts call at `front_address`, the other machines at `address`.
  Store(const std::string& address, const std::string& front_address);
  ~Store();
  void Put(const std::string& table, const std::string& key, const std::string& value);
  /// Whether the fronts get 503 from now on, while the other machines are served.
  void TurnFrontsAway(bool away) { this->fronts_turned_away = away; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Waiting {
    std::string table;
    std::uint64_t after = 0;
    std::int64_t until = 0;
    quetzalvale::HttpResponder respond;
  };
  void Handle(const quetzalvale::HttpRequest& request, const quetzalvale::HttpResponder& respond);
  Json::Value RowJson(const std::string& table, const std::string& key, const Row& row) const;
  bool AnswerFeed(const Waiting& waiting, bool last);
  void AnswerWaiting();

  std::mutex mutex;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::uint64_t version = 1;
  std::list<Waiting> waiting;
  std::atomic<bool> fronts_turned_away{false};
  std::atomic<bool> stopping{false};
  quetzalvale::HttpServer server;
  quetzalvale::HttpServer front_server;
  std::thread timer;
};

/// One run that a worker has begun.
struct Run {
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::int64_t started = 0;
  std::int64_t ended = -1;
  std::string how;
  /// How it ends if nothing ends it before.
  std::string own_end = "done";
};

/// One life of a worker with `admission_control`, beside the agent on its machine.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service = "order-desk";
    std::string app;
    std::string control;
    std::string zone = "z1";
    int cpu = 16000;
    int mem_mb = 32768;
    /// A task takes its work divided by this.
    double speed = 1;
    std::int64_t heartbeat_ms = 1500;
    /// How long after Begin the first status report is sent.
    std::int64_t first_report_ms = 0;
    /// Share of the orders that are carried out but not answered.
    double lost_answers = 0;
    /// Share of the orders that are not answered and carried out 2 to 12 s later.
    double applied_late = 0;
  };

  Worker(Options options, const JobBook& jobs);
  ~Worker();

  /// Reports `draining` from now on, until it is acknowledged; then as usual.
  void Drain();
  /// When the draining was acknowledged; -1 before that.
  std::int64_t DrainAcknowledged() const { return this->drain_acknowledged; }
  /// Sends Instances.Leave and ends; everything that runs ends.
  void Leave();
  /// Ends without a word.
  void Crash();

  std::vector<Run> Runs() const;
  std::size_t Running() const;
  std::int64_t ReportsAcknowledged() const { return this->acknowledged; }

 private:
  struct Lease {
    std::int64_t until = 0;
  };
  struct Ended {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };
  struct Hold {
    std::int64_t until = 0;
    quetzalvale::HttpResponder respond;
  };
  std::int64_t Clock() const;
  void Handle(const quetzalvale::HttpRequest& request, const quetzalvale::HttpResponder& respond);
  quetzalvale::HttpResponse CarryOut(const std::string& call, const Json::Value& order);
  quetzalvale::HttpResponse Start(const Json::Value& order);
  quetzalvale::HttpResponse Stop(const Json::Value& order);
  void TakeDeadline(const Json::Value& order);
  quetzalvale::HttpResponse Lists() const;
  quetzalvale::HttpResponse Conflict(const std::string& reason) const;
  void End(std::size_t index, const std::string& how);
  void Turn();
  void Report();
  void Finish(const std::string& how);

  Options options;
  const JobBook& jobs;
  std::int64_t born = 0;
  std::int64_t begun = 0;
  mutable std::mutex mutex;
  std::uint64_t fence = 0;
  std::int64_t lease_until = 0;
  std::vector<Run> runs;
  /// Indices of what runs, and when each is done.
  std::map<std::size_t, std::int64_t> running;
  std::map<std::string, std::uint64_t> highest_ended;
  std::list<Ended> ended;
  std::uint64_t last_end = 0;
  std::list<Hold> holds;
  struct LateOrder {
    std::int64_t at = 0;
    std::string call;
    Json::Value order;
  };
  std::list<LateOrder> late_orders;
  /// Of orders that are never answered: their channels stay open.
  std::list<quetzalvale::HttpResponder> unanswered;
  std::atomic<bool> draining{false};
  std::atomic<bool> stopping{false};
  std::atomic<std::int64_t> drain_acknowledged{-1};
  std::atomic<std::int64_t> acknowledged{0};
  std::unique_ptr<quetzalvale::HttpServer> server;
  std::unique_ptr<quetzalvale::HttpSession> control;
  std::thread timer;
  std::thread reporter;
  std::uint64_t seq = 0;
};

/// Where the processes of one small deployment listen: one port each, the same on all machines.
struct Ports {
  int caller = 0;
  int ready = 0;
  int control = 0;
  int inner = 0;
  int app = 0;
  int store = 0;
  /// Where the fronts reach the store.
  int front_store = 0;
};

/// A deployment on loopback addresses. Ends its processes when it is destroyed.
class Deployment {
 public:
  /// `folder` is a temporary folder for settings and logs. `hosts` are all addresses used.
  Deployment(std::string repository, std::string folder, const std::vector<std::string>& hosts);
  ~Deployment();

  std::string Caller(const std::string& host) const;
  std::string Ready(const std::string& host) const;
  std::string Control(const std::string& host) const;
  std::string App(const std::string& host) const;

  void StartFront(const std::string& host, const std::string& name);
  void StartSide(const std::string& host, const std::string& name);
  void Signal(const std::string& host, int signal);
  /// Returns whether the process has ended by itself or by a signal.
  bool HasEnded(const std::string& host);
  /// Waits until GET /api/ready answers 200, or the time is over.
  bool WaitReady(const std::string& host, std::int64_t for_ms);

  Store& store() { return *this->platform; }

 private:
  void Launch(const std::string& host, const std::string& program, const Json::Value& settings);

  std::string repository;
  std::string folder;
  Ports ports;
  std::unique_ptr<Store> platform;
  /// Guards the processes, which scripts stop and start on several threads.
  std::recursive_mutex mutex;
  std::map<std::string, pid_t> processes;
};

/// What a caller got.
struct Answer {
  /// Zero if there was no response.
  int status = 0;
  std::string body;
};

/// Sends one request on a channel of its own, which is reset after `patience_ms` without a
/// response. `deadline_ms` is what the caller says it waits; zero: the same.
Answer Call(const std::string& address, const std::string& method, const std::string& target,
            const std::string& host_header, const std::string& body, std::int64_t patience_ms,
            std::int64_t deadline_ms = 0);

/// The platform's address for callers: forwards each request to one front.
struct Queue {
  std::string host = "desk.example";
  /// Of the queue pallet-quote.
  std::string prefix = "/pq7/";
  /// Of the queue stock-check.
  std::string quick_prefix = "/sc4/";
  /// Of the queue slot-booking.
  std::string slot_prefix = "/sb9/";
};

/// The body of a job of one step with best_effort.
std::string JobBody(int count, int cpu, int mem_mb, std::int64_t est_ms);

/// Writes op/config with the three queues of the service.
void PutConfig(Store& store, std::uint64_t version, const Queue& queue, std::int64_t timeout_ms,
               double stretch, std::int64_t slo_ms);

std::string JobName(std::uint64_t number);

/// Returns whether TROUBLE=0 is set.
bool Calm();

/// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Runs the case: opens record.txt, calls `play` and returns its exit code, or 2 on an exception.
int Main(int argc, char** argv, const std::function<int(Deployment&)>& play,
         const std::vector<std::string>& hosts);

}  // namespace rig
