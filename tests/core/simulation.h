/// Deterministic simulation of entries, agents, endpoints and callers on a faulty network, driven
/// by one seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/agent/agent_core.h"
#include "core/entry/entry_core.h"

namespace quetzalvale {

struct SimulationSettings {
  int entries = 3;
  int agents = 4;
  /// Probabilities, for each message, of its loss, its duplication and a delay of up to 3 s.
  double message_loss = 0.02;
  double message_duplication = 0.02;
  double message_delay = 0.02;
  /// Mean time between faults of processes and links; zero means no such faults.
  Milliseconds mean_fault_interval{400};
  Milliseconds job_interval{4};
  /// Evacuates and revokes data centres, cuts entries off from the store, and replaces processes.
  /// Agents then belong to three data centres. Not to be combined with other faults of processes,
  /// since a suspended agent may start tasks that are not repeatable when it resumes.
  bool evacuations = false;
  double task_failure_probability = 0.01;
};

/// Runs random jobs and faults, and records every violation of the guarantees in Violations().
class Simulation {
 public:
  Simulation(std::uint64_t seed, SimulationSettings settings);

  /// Runs for the time `faulty` with new jobs and faults, then for the time `quiet` without,
  /// which has to be long enough for all requests to be answered.
  void Run(Milliseconds faulty, Milliseconds quiet);

  const std::vector<std::string>& Violations() const { return this->violations; }
  std::uint64_t Events() const { return this->events; }
  std::uint64_t EventCount(const std::string& name) const {
    const auto found = this->counts.find(name);
    return found == this->counts.end() ? 0 : found->second;
  }
  const std::map<std::string, std::uint64_t>& EventCounts() const { return this->counts; }
  /// After Run: records requests without an answer, and jobs and tasks that an entry still
  /// counts, as violations.
  void CheckSettled();

 private:
  struct Process {
    std::string address;
    std::uint64_t generation = 0;
    bool alive = false;
    Time frozen_until{};
    std::unique_ptr<EntryCore> entry;
    std::unique_ptr<AgentCore> agent;
    EntryInfo info;
    bool leaving = false;
    Time cut_from_store_until{};
  };
  struct ScheduledAction {
    Time time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const ScheduledAction& other) const {
      return std::pair(this->time, this->order) > std::pair(other.time, other.order);
    }
  };
  struct JobRequest {
    Submission submission;
    int attempts = 0;
  };
  struct Request {
    std::string process;
    std::uint64_t generation = 0;
    std::shared_ptr<JobRequest> job_request;
    bool answered = false;
    bool caller_gone = false;
  };
  using Reply = std::function<void(const std::function<EntryEvent()>&)>;

  bool Chance(double probability);
  Milliseconds RandomDuration(int low, int high);
  Microseconds NetworkDelay();
  void ScheduleAt(Time time, std::function<void()> action);
  void ScheduleAfter(Time::duration delay, std::function<void()> action);
  /// Runs the action in the process, delayed while it is frozen; drops it if the process has died.
  void RunInProcess(const std::string& address, std::uint64_t generation,
                    std::function<void(Process&)> action);

  void StartProcess(const std::string& address, bool is_entry);
  void TickProcess(const std::string& address, std::uint64_t generation);
  void HandleEntry(Process& process, const EntryEvent& event);
  void HandleAgent(Process& process, const AgentEvent& event);
  void Perform(Process& process, const EntryAction& action);
  void Perform(Process& process, const AgentAction& action);
  void StartTask(Process& process, const StartOnEndpoint& start);
  void OnAnswer(const AnswerCaller& answer);
  void CheckAnswer(const Request& request, const Answer& answer);

  /// Simulates a call between processes: delivers the request, then the reply or an error to the
  /// sender.
  template <typename ReplyMessage>
  void Call(Process& from, const std::string& address,
            std::function<void(Process&, RequestId)> deliver,
            std::function<void(Process&, Result<ReplyMessage>)> done);
  template <typename ReplyMessage>
  void DeliverReply(RequestId request, const ReplyMessage& reply);

  void SubmitNewJob();
  void ResubmitJob(std::shared_ptr<JobRequest> job_request);
  void SubmitTo(const std::string& address, const std::shared_ptr<JobRequest>& job_request);
  void InjectFault();
  /// Changes one evacuation and lets the entries learn of it.
  void ChangeEvacuation();
  /// Lets the entry read the store's table at a time within the polling interval, or later if it is
  /// cut off from the store.
  void ReadEvacuations(const Process& process);
  /// Opens or blocks all links between the entry and other entries.
  void SetPeerLinks(const std::string& entry, bool open);
  void Replace(const std::string& address, bool is_entry);
  std::string RandomEntry();
  std::string RandomAgent();
  std::shared_ptr<ServiceConfiguration> MakeConfiguration();

  SimulationSettings settings;
  Random random;
  Time now{std::chrono::seconds(1000)};
  std::uint64_t order = 0;
  std::uint64_t next_request = 1;
  std::uint64_t next_job = 1;
  std::uint64_t next_incarnation = 1;
  std::uint64_t events = 0;
  bool faulty = true;
  std::priority_queue<ScheduledAction> schedule;
  std::map<std::string, Process> processes;
  std::shared_ptr<const ServiceConfiguration> configuration;
  std::map<RequestId, std::function<void(const void*)>> pending_calls;
  std::map<RequestId, Request> requests;
  std::set<std::pair<std::string, std::string>> blocked_links;
  std::vector<Ticket> tickets;
  std::map<std::string, Ticket> claimed_keys;
  /// The store's table of evacuations, with the time of each row, and its version.
  std::map<std::string, Time> evacuated_since;
  std::uint64_t store_version = 1;
  std::set<TaskKey> started;
  std::set<Ticket> started_tickets;
  std::set<Ticket> not_run_tickets;
  std::map<TaskKey, std::string> successful_results;
  std::vector<std::string> violations;
  std::map<std::string, std::uint64_t> counts;
};

}  // namespace quetzalvale
