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

#include "core/result.h"
#include "core/types.h"
#include "http/http_messages.h"
#include "standin/endpoint_journal.h"

namespace quetzalvale {

struct EndpointOptions {
  int slots = 8;
  /// Task requests that may be open at a time.
  int connections = 64;
  std::uint64_t seed = 1;
};

/// Behaviour that tests switch while the stand-in runs.
struct EndpointControl {
  /// Run times are divided by this.
  double speed = 1;
  /// Share of the tasks whose run time is multiplied by the factor.
  double straggler_share = 0;
  double straggler_factor = 10;
  /// Every task ends at once and failed.
  bool fail_everything = false;
  /// Holds all answers until it is switched off; the work goes on.
  bool frozen = false;
  /// Breaks the connection off after the start is recorded; the work goes on.
  bool drop_after_start = false;
  std::int64_t added_latency_ms = 0;
};

struct EndpointTask {
  std::string task;
  Milliseconds lease{0};
  double run_ms = 0;
  bool fail = false;
  /// Returned as the result.
  Json::Value echo;
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

  /// Usage as it was kUsageLag ago.
  Json::Value Usage(Time now) const;

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
  };
  using RunMap = std::map<std::uint64_t, Run>;

  Milliseconds RunTime(double run_ms);
  void FailAtOnce(Time now, const EndpointTask& task, HttpResponder respond);
  HttpResponder CountOpen(HttpResponder respond);
  RunMap::iterator End(Time now, RunMap::iterator run, const std::string& end,
                       const std::string& body);
  void EndDue(Time now);
  RunMap::const_iterator Find(std::string_view task) const;

  EndpointOptions options;
  EndpointControl control;
  EndpointJournal& journal;
  Random random;
  std::uint64_t next_run = 0;
  RunMap running;
  int open = 0;
  /// Answers waiting for the end of the added latency, or of the freeze.
  std::multimap<Time, std::pair<HttpResponder, HttpResponse>> delayed;
  std::vector<std::pair<HttpResponder, HttpResponse>> held;
  std::deque<Sample> samples;
  Time next_sample{};
};

/// Changes the members that are given. The error says which one is wrong.
Result<EndpointControl> ChangeControl(EndpointControl control, const Json::Value& changes);
Json::Value ControlToJson(const EndpointControl& control);

}  // namespace quetzalvale
