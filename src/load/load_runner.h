/// Sends the jobs of a workload at their intended times and records the answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "load/caller_answer.h"
#include "load/job_plan.h"
#include "load/request_sender.h"
#include "load/workload.h"
#include "runtime/clock.h"
#include "runtime/ring.h"

namespace quetzalvale {

/// Where the processes of the experiment are; all addresses are `IPv4:port`.
struct LoadTargets {
  std::vector<std::string> entries;
  /// Endpoint stand-ins in the order of the workload's endpoints.
  std::vector<std::string> endpoints;
  /// Platform stand-in; empty when there is none.
  std::string platform;
};

/// What became of one job.
struct JobRecord {
  std::string ticket;
  CallerAnswer answer;
  /// From the intended send time, with the workload's latency to callers.
  double response_ms = 0;
  /// When the answer arrived, after the start of the run.
  double answered_at_ms = 0;
  bool answered = false;
};

/// Open-loop load on one set of entries. Run() is called once; all state belongs to its thread.
class LoadRunner {
 public:
  /// `progress` gets one line a second.
  LoadRunner(const Workload& workload, const std::vector<PlannedJob>& jobs, LoadTargets targets,
             LoadSendHook send, const Clock& clock,
             std::function<void(const std::string&)> progress);

  /// Returns one record per job, in the order of the jobs, when all are answered.
  std::vector<JobRecord> Run();

  /// Control calls to stand-ins that failed; the run was then not the workload's.
  std::uint64_t FailedControls() const { return this->failed_controls; }

  /// Text that the endpoint returns for a task and that no other task has.
  static std::string Echo(const Workload& workload, std::size_t job, std::size_t task);

 private:
  /// Gets the reply and the time at which it arrived.
  using ReplyHandler = std::function<void(const LoadReply&, std::chrono::steady_clock::time_point)>;

  struct Attempt {
    std::size_t job = 0;
    std::size_t entry = 0;
    int resubmissions_left = 0;
  };

  void Schedule(double at_ms, std::function<void()> step);
  void ScheduleDisturbances();
  void RunUntil(const std::function<bool()>& finished);
  /// Sends a request whose reply is handled on the thread of Run().
  void Call(const LoadRequest& request, ReplyHandler handle);

  void Control(const std::string& address, const std::string& body);
  void SetSpeeds();
  void RefillTickets(std::size_t entry);
  void AddTickets(std::size_t entry, const std::vector<std::string>& tickets);
  void SubmitWaiting(std::size_t entry);
  void Submit(std::size_t job);
  void SendAttempt(const Attempt& attempt);
  void HandleReply(const Attempt& attempt, const LoadReply& reply,
                   std::chrono::steady_clock::time_point received);
  void CancelShare(double share);
  void ReportProgress();
  std::string Body(std::size_t job) const;
  std::vector<std::string> Echoes(std::size_t job) const;
  double MsSinceStart(std::chrono::steady_clock::time_point time) const;
  std::string ServicePath() const;

  const Workload& workload;
  const std::vector<PlannedJob>& jobs;
  LoadTargets targets;
  LoadSendHook send;
  const Clock& clock;
  std::function<void(const std::string&)> progress;

  Ring<std::function<void()>> replies;
  std::size_t calls_open = 0;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> timeline;
  std::chrono::steady_clock::time_point start;

  /// Unused tickets and jobs that wait for one, per entry.
  std::vector<std::deque<std::string>> tickets;
  std::vector<std::deque<std::size_t>> waiting;
  std::vector<bool> refilling;

  std::vector<JobRecord> records;
  /// Jobs in progress and the entry that has each.
  std::map<std::size_t, std::size_t> in_progress;
  std::map<CallerStatus, std::uint64_t> answered;
  std::size_t sent = 0;
  std::uint64_t failed_controls = 0;
};

}  // namespace quetzalvale
