/// Simulated worker behind the endpoint stand-in.
#pragma once

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/policy/worker_resources.h"
#include "core/types.h"
#include "http/http_messages.h"
#include "standin/endpoint_control.h"
#include "standin/endpoint_journal.h"

namespace quetzalvale {

struct EndpointOptions {
  int slots = 8;
  /// Task requests that may be open at a time.
  int connections = 64;
  std::uint64_t seed = 1;
};

struct EndpointTask {
  std::string task;
  Milliseconds lease{0};
  double run_ms = 0;
  bool fail = false;
  /// Returned as the result.
  Json::Value echo;
  /// One slot and what the request declares.
  Resources declared{1, 0, 0, 0};
  /// What the task really uses.
  Resources used{1, 0, 0, 0};
};

/// Runs tasks on timers: time is passed in, and Advance does what has become due. A task whose
/// lease is not renewed is stopped. Not thread-safe.
class EndpointWorker {
 public:
  /// `journal` must outlive the worker.
  EndpointWorker(EndpointOptions options, EndpointControl control, EndpointJournal& journal);

  /// Accepts or refuses the task; the answer comes when it ends.
  void Start(Time now, const EndpointTask& task, HttpResponder respond);

  /// Extends the leases of those of the tasks that run. Returns how many do.
  int Renew(Time now, const std::vector<std::string>& tasks, Milliseconds lease);

  /// Each returns whether the task runs.
  bool Stop(Time now, std::string_view task);
  bool Throttle(Time now, std::string_view task, double factor);

  /// Finished share of the task's work; nothing when it does not run.
  std::optional<double> Checkpoint(Time now, std::string_view task) const;

  /// Usage as it was kUsageLag ago, in total and by task.
  Json::Value Usage(Time now) const;

  /// The highest sums of what tasks running at the same time declared, each of its own moment. A
  /// test's proof that an agent never shared out more than the worker has.
  Json::Value PeakDeclared() const;

  const EndpointControl& Control() const { return this->control; }
  void SetControl(Time now, const EndpointControl& new_control);

  /// Sends an answer that is subject to the switched faults.
  void Answer(Time now, HttpResponder respond, HttpResponse response);

  /// Ends what has become due.
  void Advance(Time now);
  /// When Advance has something to do next.
  Time NextDue() const;

  int Running() const { return static_cast<int>(this->running.size()); }

  static constexpr Milliseconds kUsageLag{1000};

 private:
  struct Run {
    EndpointTask task;
    HttpResponder respond;
    std::size_t record = 0;
    Time started{};
    Time end{};
    Time lease_end{};
  };
  struct Sample {
    Time at{};
    int running = 0;
    std::vector<std::pair<std::string, Resources>> used{};
  };
  using RunMap = std::map<std::uint64_t, Run>;

  Milliseconds RunTime(double run_ms);
  void FailAtOnce(Time now, const EndpointTask& task, HttpResponder respond);
  HttpResponder CountOpen(HttpResponder respond);
  RunMap::iterator End(Time now, RunMap::iterator run, const std::string& end,
                       const std::string& body);
  void CountDeclared(const Resources& task);
  Sample TakeSample(Time now) const;
  void EndDue(Time now);
  RunMap::const_iterator Find(std::string_view task) const;

  EndpointOptions options;
  EndpointControl control;
  EndpointJournal& journal;
  Random random;
  std::uint64_t next_run = 0;
  RunMap running;
  /// Sum of what the running tasks declare, and its highest values.
  Resources declared;
  Resources peak;
  int open = 0;
  /// Answers waiting for the end of the added latency, or of the freeze.
  std::multimap<Time, std::pair<HttpResponder, HttpResponse>> delayed;
  std::vector<std::pair<HttpResponder, HttpResponse>> held;
  std::deque<Sample> samples;
  Time next_sample{};
};

}  // namespace quetzalvale
