#include "platform/worker_endpoint.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_server.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale::platform {
namespace {

constexpr std::chrono::seconds kTestTimeout{20};
const TaskKey kKey{Ticket{"s", {1, 1}, 7, 1}, 0};
constexpr char kTask[] = "00000000000000a1.0.0.0";
/// Start of the worker's first incarnation.
constexpr std::int64_t kBorn = 500;

/// A worker that starts the requested runs and ends them when the test says so.
class FakeWorker {
 public:
  FakeWorker() { this->Listen(); }

  /// Makes the following starts fail with this reason; an empty one lets them succeed.
  void RejectStarts(std::string reason) {
    const std::lock_guard lock(this->mutex);
    this->rejection_reason = std::move(reason);
  }

  /// Leaves the next `count` requests to this target unprocessed and unanswered.
  void Ignore(const std::string& target, int count) {
    const std::lock_guard lock(this->mutex);
    this->ignored_target = target;
    this->ignored_count = count;
  }

  /// Returns the wait times of the polls since the last call.
  std::vector<std::int64_t> TakePollWaits() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->poll_waits, {});
  }

  void End(const std::string& end_state) {
    const std::lock_guard lock(this->mutex);
    if (!this->run_number.empty()) {
      this->ended_list =
          "[1,\"" + std::string(kTask) + "\"," + this->run_number + ",\"" + end_state + "\",\"\"]";
      this->run_number.clear();
    }
  }

  /// Refuses connections from now on.
  void StopListening() { this->server->Stop(std::chrono::milliseconds(0)); }

  /// Executes the next start without answering it.
  void LeaveStartUnanswered() {
    const std::lock_guard lock(this->mutex);
    this->leaves_start_unanswered = true;
  }

  /// Ends, closing all connections.
  void Crash() { this->server.reset(); }

  /// Starts again under its id after Crash.
  void StartAgain() {
    {
      const std::lock_guard lock(this->mutex);
      this->BeginIncarnation();
    }
    this->Listen();
  }

  /// Makes the next start the first order that reaches the next incarnation.
  void RestartBeforeNextStart() {
    const std::lock_guard lock(this->mutex);
    this->restarts_before_start = true;
  }

  /// Sets the start of the incarnation that the lists name; 0 for none.
  void SetBorn(std::int64_t new_born) {
    const std::lock_guard lock(this->mutex);
    this->born = new_born;
  }

  /// Returns the time on the worker's clock, in milliseconds.
  static std::int64_t ClockMs() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }

  std::string address = NextLoopbackAddress();
  std::atomic<int> stop_requests{0};
  std::atomic<int> start_requests{0};
  /// The worker does nothing for a lower fencing token.
  std::atomic<std::int64_t> highest_fence{0};
  /// The lease end that the last poll asked for.
  std::atomic<std::int64_t> lease_end{0};
  /// Since the worker has started: the highest number of an end that a poll acknowledged, and the
  /// latest lease end that a poll or start asked for.
  std::atomic<std::int64_t> highest_acknowledged{0};
  std::atomic<std::int64_t> longest_deadline{0};
  std::atomic<int> polls{0};
  /// How old the clock is that the responses tell.
  std::atomic<std::int64_t> clock_delay_ms{0};

 private:
  void Listen() {
    this->server = std::make_unique<HttpServer>(
        this->address, [] { return std::size_t{100000}; },
        [this](const HttpRequest& request, const HttpResponder& respond) {
          if (this->ConsumeIgnored(request)) {
            // No response is sent; the responder is destroyed with the connection.
            return;
          }
          const HttpResponse response = this->Handle(request);
          if (request.target != "/api/run-start" || !this->leaves_start_unanswered) {
            respond(response);
          }
        });
    EXPECT_EQ(this->server->Start(), "");
  }

  /// Returns the number after the name in a request's body, or 0.
  static std::int64_t IntegerField(const std::string& body, const std::string& name) {
    const std::string field = "\"" + name + "\":";
    const std::size_t at = body.find(field);
    return at == std::string::npos ? 0 : std::stoll(body.substr(at + field.size()));
  }

  /// Precondition: the caller holds the mutex.
  void BeginIncarnation() {
    this->born += 1000;
    this->run_number.clear();
    this->ended_list.clear();
    this->highest_fence = 0;
    this->highest_acknowledged = 0;
    this->longest_deadline = 0;
    this->leaves_start_unanswered = false;
  }

  bool ConsumeIgnored(const HttpRequest& request) {
    const std::lock_guard lock(this->mutex);
    if (request.target != this->ignored_target || this->ignored_count == 0) {
      return false;
    }
    --this->ignored_count;
    return true;
  }

  /// Returns the beginning of a response body, with the worker's clock.
  std::string ClockField() const {
    return R"({"clock_ms":)" + std::to_string(ClockMs() - this->clock_delay_ms);
  }

  HttpResponse Handle(const HttpRequest& request) {
    // Limits the rate of polls.
    std::this_thread::sleep_for(std::chrono::milliseconds(3));
    const std::lock_guard lock(this->mutex);
    if (request.target == "/api/run-start" && std::exchange(this->restarts_before_start, false)) {
      this->BeginIncarnation();
    }
    const std::int64_t fence = IntegerField(request.body, "fence");
    if (fence < this->highest_fence) {
      return {409, ClockField() + R"(,"reason":"fence"})"};
    }
    this->highest_fence = fence;
    this->longest_deadline =
        std::max(this->longest_deadline.load(), IntegerField(request.body, "deadline_ms"));
    this->highest_acknowledged =
        std::max(this->highest_acknowledged.load(), IntegerField(request.body, "seen_upto"));
    if (request.target == "/api/run-start") {
      ++this->start_requests;
      if (!this->rejection_reason.empty()) {
        return {409, ClockField() + R"(,"reason":")" + this->rejection_reason + R"("})"};
      }
      const std::size_t run = request.body.find("\"run\":") + 6;
      this->run_number = request.body.substr(run, request.body.find(',', run) - run);
      return {200, ClockField() + "}"};
    }
    if (request.target == "/api/hold") {
      ++this->polls;
      this->lease_end = IntegerField(request.body, "deadline_ms");
      this->poll_waits.push_back(IntegerField(request.body, "wait_ms"));
    }
    if (request.target == "/api/run-stop") {
      ++this->stop_requests;
      return {200, ClockField() + "}"};
    }
    const std::string list = this->run_number.empty() ? ""
                                                      : "[\"" + std::string(kTask) + "\"," +
                                                            this->run_number + ",\"\",1]";
    const std::string born_field =
        this->born == 0 ? "" : R"(,"born":)" + std::to_string(this->born);
    return {200, ClockField() + born_field + R"(,"running":[)" + list + R"(],"ended":[)" +
                     this->ended_list + "]}"};
  }

  std::mutex mutex;
  std::string rejection_reason;
  /// Number of the current run; empty if there is none.
  std::string run_number;
  std::string ended_list;
  std::string ignored_target;
  int ignored_count = 0;
  std::vector<std::int64_t> poll_waits;
  std::int64_t born = kBorn;
  bool restarts_before_start = false;
  std::atomic<bool> leaves_start_unanswered{false};
  std::unique_ptr<HttpServer> server;
};

class WorkerEndpointTest : public testing::Test {
 protected:
  void Create() {
    WorkerReport worker_report;
    worker_report.id = "i-1";
    worker_report.started_at = kBorn;
    this->endpoint = std::make_unique<WorkerEndpoint>(
        WorkerEndpoint::Options{this->worker.address, worker_report, Milliseconds(1000),
                                this->fence_before},
        this->clock);
    this->endpoint->SetReport([this](AgentEvent event) {
      const std::lock_guard lock(this->mutex);
      this->events.push_back(std::move(event));
      this->arrived.notify_all();
    });
  }

  void Connect() {
    this->Create();
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (!this->endpoint->IsReady() && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ASSERT_TRUE(this->endpoint->IsReady());
  }

  void Start(std::optional<Time> start_before = std::nullopt) {
    StartOnEndpoint start;
    start.start_before = start_before;
    start.task = kKey;
    start.payload = R"({"task":"00000000000000a1.0.0.0","spec":"x"})";
    this->endpoint->Start(start);
  }

  std::optional<AgentEvent> TryNext(std::chrono::milliseconds max_wait) {
    std::unique_lock lock(this->mutex);
    if (!this->arrived.wait_for(lock, max_wait, [this] { return !this->events.empty(); })) {
      return std::nullopt;
    }
    AgentEvent event = this->events.front();
    this->events.pop_front();
    return event;
  }

  AgentEvent Next() {
    auto event = this->TryNext(kTestTimeout);
    if (!event) {
      ADD_FAILURE() << "no event";
    }
    return event.value_or(Tick{});
  }

  /// Returns the next event that is not the result of a check.
  AgentEvent NextOfTask() {
    AgentEvent event = this->Next();
    while (std::holds_alternative<EndpointChecked>(event)) {
      event = this->Next();
    }
    return event;
  }

  /// Waits for polls that were sent after this call.
  void WaitForPolls() {
    const int before = this->worker.polls;
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (this->worker.polls < before + 3 && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ASSERT_GE(this->worker.polls, before + 3);
  }

  static void ExpectLost(const AgentEvent& event) {
    const auto* finished = std::get_if<EndpointFinished>(&event);
    ASSERT_NE(finished, nullptr) << "the task may have run";
    ASSERT_TRUE(IsOk(finished->outcome));
    EXPECT_EQ(std::get<Outcome>(finished->outcome).reason, "endpoint_lost");
  }

  SystemClock clock;
  FakeWorker worker;
  std::uint64_t fence_before = 0;
  std::mutex mutex;
  std::condition_variable arrived;
  std::deque<AgentEvent> events;
  /// Last, so that no event is reported to destroyed members.
  std::unique_ptr<WorkerEndpoint> endpoint;
};

// Runs of a dead entry outlived the resubmission of the job by its caller, because requests and
// polls went on extending their lease.
TEST_F(WorkerEndpointTest, PausedLeaseIsNotExtended) {
  const auto wait = [] { std::this_thread::sleep_for(std::chrono::milliseconds(50)); };
  this->Connect();
  this->endpoint->PauseLeases(true);
  wait();
  const std::int64_t paused = this->worker.lease_end;
  EXPECT_GT(paused, 0);
  wait();
  EXPECT_EQ(this->worker.lease_end, paused);
  this->endpoint->PauseLeases(false);
  wait();
  EXPECT_GT(this->worker.lease_end, paused);
}

TEST_F(WorkerEndpointTest, ReportsRunsThatThePollShowsAsEnded) {
  this->Connect();
  this->Start();
  std::thread ending([this] {
    // The end is listed only if the run has started.
    for (int i = 0; i < 200; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      this->worker.End("done");
    }
  });
  const AgentEvent event = this->Next();
  ending.join();
  const auto* finished = std::get_if<EndpointFinished>(&event);
  ASSERT_NE(finished, nullptr);
  EXPECT_EQ(finished->task, kKey);
  ASSERT_TRUE(IsOk(finished->outcome));
  EXPECT_TRUE(std::get<Outcome>(finished->outcome).ok);
}

TEST_F(WorkerEndpointTest, RefusedStartIsReportedAsNotRun) {
  this->Connect();
  this->worker.RejectStarts("room");
  this->Start();
  const AgentEvent event = this->Next();
  ASSERT_TRUE(std::holds_alternative<EndpointRefused>(event));
  EXPECT_EQ(std::get<EndpointRefused>(event).task, kKey);
}

// Lost responses made one task in fifteen wait for 200 ms and then for proof that it had not
// started, so that a third of the jobs was late (applied_late). Sending the start again avoids the
// wait.
TEST_F(WorkerEndpointTest, UnansweredStartIsRepeated) {
  this->Connect();
  this->worker.Ignore("/api/run-start", 2);
  this->Start();
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  std::optional<AgentEvent> event;
  while (!event && std::chrono::steady_clock::now() < until) {
    this->worker.End("done");
    event = this->TryNext(std::chrono::milliseconds(5));
  }
  ASSERT_TRUE(event);
  const auto* finished = std::get_if<EndpointFinished>(&*event);
  ASSERT_NE(finished, nullptr) << "the run was given up";
  EXPECT_TRUE(std::get<Outcome>(finished->outcome).ok);
}

// The rejection concerns the repeated request; the first one may still be carried out.
TEST_F(WorkerEndpointTest, RejectedRepetitionDoesNotProveThatNothingRan) {
  this->Connect();
  this->worker.Ignore("/api/run-start", 1);
  this->worker.RejectStarts("room");
  this->Start();
  const AgentEvent event = this->Next();
  EXPECT_TRUE(std::holds_alternative<EndpointRefused>(event));
  EXPECT_GE(this->worker.stop_requests, 1)
      << "only a stop keeps the first order from starting the task";
}

// No end of a run is reported while a poll is unanswered, so the poll after a lost response must
// not wait.
TEST_F(WorkerEndpointTest, UnansweredPollIsRepeatedWithoutWaiting) {
  this->Connect();
  this->worker.Ignore("/api/hold", 1);
  this->worker.TakePollWaits();
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  std::vector<std::int64_t> poll_waits;
  while (std::ranges::count(poll_waits, 0) == 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    poll_waits = this->worker.TakePollWaits();
  }
  EXPECT_EQ(std::ranges::count(poll_waits, 0), 1);
}

// The receiver of events is the agent, which is destroyed when the worker's incarnation ends. An
// event that was being delivered at that moment used the destroyed agent.
TEST_F(WorkerEndpointTest, PreviousReceiverGetsNoEventsAfterItIsReplaced) {
  this->Connect();
  std::promise<void> report_entered;
  std::promise<void> release;
  std::atomic<bool> reporting{false};
  this->endpoint->SetReport([&, released = release.get_future().share()](const AgentEvent&) {
    reporting = true;
    report_entered.set_value();
    released.wait_for(kTestTimeout);
    reporting = false;
  });
  this->worker.RejectStarts("room");
  this->Start();
  ASSERT_EQ(report_entered.get_future().wait_for(kTestTimeout), std::future_status::ready);
  auto replacement = std::async(std::launch::async, [&] {
    this->endpoint->SetReport({});
    return reporting.load();
  });
  EXPECT_EQ(replacement.wait_for(std::chrono::milliseconds(50)), std::future_status::timeout);
  release.set_value();
  EXPECT_FALSE(replacement.get());
}

// A process that was suspended between deciding a start and sending it must not start the task: its
// owner may have started it elsewhere meanwhile.
TEST_F(WorkerEndpointTest, StartWhoseTimeIsOverIsNotSent) {
  this->Connect();
  this->Start(this->clock.Now());
  const AgentEvent event = this->Next();
  ASSERT_TRUE(std::holds_alternative<EndpointRefused>(event));
  EXPECT_EQ(this->worker.start_requests, 0);
}

// The same for a repetition, but the first transmission may have been carried out: only a stop
// proves that the task does not run.
TEST_F(WorkerEndpointTest, StartIsNotRepeatedAfterItsTimeAndThenStopped) {
  this->Connect();
  this->worker.Ignore("/api/run-start", 3);
  this->Start(this->clock.Now() + Milliseconds(20));
  const AgentEvent event = this->Next();
  EXPECT_TRUE(std::holds_alternative<EndpointRefused>(event));
  EXPECT_GE(this->worker.stop_requests, 1);
  EXPECT_EQ(this->worker.start_requests, 0);
}

// The caller was gone before the worker answered the start. Its repetition started the task after
// the stop had been sent, and the run went on although nobody wanted it.
TEST_F(WorkerEndpointTest, StartIsNotRepeatedAfterTheTaskWasStopped) {
  this->Connect();
  this->worker.Ignore("/api/run-start", 1);
  this->Start();
  this->endpoint->Stop(kKey);
  const AgentEvent event = this->Next();
  EXPECT_TRUE(std::holds_alternative<EndpointRefused>(event));
  EXPECT_EQ(this->worker.start_requests, 0);
}

// A worker that was cut off refused connections and ran on. Two refused polls in a row counted as
// its end, so its tasks were started again elsewhere beside the runs that still held their lease.
TEST_F(WorkerEndpointTest, RunsOfAWorkerThatRefusesConnectionsEndWithTheirLease) {
  this->Connect();
  this->Start();
  EXPECT_FALSE(this->TryNext(std::chrono::milliseconds(100))) << "the task runs";
  this->worker.StopListening();
  const AgentEvent event = this->NextOfTask();
  EXPECT_GE(FakeWorker::ClockMs(), this->worker.lease_end);
  ExpectLost(event);
}

// A worker crashed as it began a task and came back under its id. The confirmed stop and the empty
// lists of its next incarnation counted as proof that the task had not run, and its caller was told
// so (review/12).
TEST_F(WorkerEndpointTest, ListsOfTheNextIncarnationDoNotProveThatATaskDidNotRun) {
  this->Connect();
  this->worker.LeaveStartUnanswered();
  this->Start();
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (this->worker.start_requests == 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  this->worker.Crash();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->worker.StartAgain();
  ExpectLost(this->NextOfTask());
}

// A response that took long made the worker's clock seem to be behind, and the lease end that was
// requested next lay before that of a start sent earlier. A start in doubt then counted as not run
// while the worker could still carry it out.
TEST_F(WorkerEndpointTest, DelayedResponseDoesNotBringTheLeaseEndForward) {
  this->Connect();
  this->WaitForPolls();
  const std::int64_t requested = this->worker.lease_end;
  ASSERT_GT(requested, 0);
  this->worker.clock_delay_ms = 300;
  this->WaitForPolls();
  EXPECT_GE(this->worker.lease_end, requested);
}

// The same for a run that the worker had confirmed.
TEST_F(WorkerEndpointTest, RunsEndWithTheirIncarnation) {
  this->Connect();
  this->Start();
  EXPECT_FALSE(this->TryNext(std::chrono::milliseconds(100))) << "the task runs";
  this->worker.Crash();
  this->worker.StartAgain();
  ExpectLost(this->NextOfTask());
}

// The numbers of ends and the clock start anew with each incarnation. The next one forgot ends that
// nobody had seen, and took the end of a lease for a time far ahead.
TEST_F(WorkerEndpointTest, NextIncarnationGetsNoNumbersOfTheOneBefore) {
  this->Connect();
  this->Start();
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (this->worker.highest_acknowledged == 0 && std::chrono::steady_clock::now() < until) {
    this->worker.End("done");
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_GT(this->worker.highest_acknowledged, 0);
  ASSERT_GT(this->worker.longest_deadline, 0);
  this->worker.Crash();
  this->worker.StartAgain();
  this->WaitForPolls();
  this->Start();
  this->WaitForPolls();
  EXPECT_EQ(this->worker.highest_acknowledged, 0);
  EXPECT_EQ(this->worker.longest_deadline, 0);
}

// A start can reach the next incarnation before the agent knows of it. Its task must not be started
// elsewhere while it runs there, and no order of before may start it later.
TEST_F(WorkerEndpointTest, RunOnTheNextIncarnationEndsBeforeItsTaskIsReportedAsLost) {
  this->Connect();
  const std::int64_t fence = this->worker.highest_fence;
  this->worker.RestartBeforeNextStart();
  this->Start();
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (this->worker.stop_requests == 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  ASSERT_GT(this->worker.stop_requests, 0);
  this->WaitForPolls();
  AgentEvent event = this->Next();
  EXPECT_TRUE(std::holds_alternative<EndpointChecked>(event)) << "the worker still lists the run";
  EXPECT_FALSE(this->TryNext(std::chrono::milliseconds(0))) << "the worker still lists the run";
  this->worker.End("stopped");
  ExpectLost(this->NextOfTask());
  EXPECT_GT(this->worker.highest_fence, fence);
}

// A delayed report of an incarnation that has ended made the agent announce itself on the lists of
// the present one.
TEST_F(WorkerEndpointTest, IsNotReadyWhileAnotherIncarnationAnswers) {
  this->worker.SetBorn(kBorn + 1000);
  this->Create();
  this->WaitForPolls();
  EXPECT_FALSE(this->endpoint->IsReady());
  EXPECT_TRUE(this->endpoint->IsReplaced());
  this->Start();
  EXPECT_TRUE(std::holds_alternative<EndpointRefused>(this->NextOfTask()));
  EXPECT_EQ(this->worker.start_requests, 0);
}

// Lists that do not name their incarnation could be those of the next one.
TEST_F(WorkerEndpointTest, ListsOfAnUnknownIncarnationAreNotApplied) {
  this->worker.SetBorn(0);
  this->Create();
  this->WaitForPolls();
  EXPECT_FALSE(this->endpoint->IsReady());
  EXPECT_FALSE(this->endpoint->IsReplaced());
  this->worker.SetBorn(kBorn);
  this->Connect();
}

// A start that an earlier agent had sent can reach the worker late, after the tasks were started
// again elsewhere. The worker refuses it because the agent that followed uses a higher token.
TEST_F(WorkerEndpointTest, FencingTokenRisesWithEachAgent) {
  this->Connect();
  const std::int64_t first = this->worker.highest_fence;
  EXPECT_GT(first, 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  this->endpoint.reset();
  this->Connect();
  EXPECT_GT(this->worker.highest_fence, first);
}

// The token of an endpoint that had to raise it was higher than the clock, so that its late orders
// passed those of the endpoint that followed it.
TEST_F(WorkerEndpointTest, FencingTokenRisesAboveThatOfTheEndpointBefore) {
  this->fence_before = std::uint64_t{1} << 50;
  this->Connect();
  EXPECT_GT(this->worker.highest_fence, std::int64_t{1} << 50);
  EXPECT_EQ(this->endpoint->Fence(), static_cast<std::uint64_t>(this->worker.highest_fence));
}

// After a restart of the machine its clock is lower than the token that the worker has seen.
TEST_F(WorkerEndpointTest, FencingTokenIsRaisedAboveTheWorkers) {
  this->worker.highest_fence = std::int64_t{1} << 50;
  this->Connect();
  EXPECT_GT(this->worker.highest_fence, std::int64_t{1} << 50);
}

}  // namespace
}  // namespace quetzalvale::platform
