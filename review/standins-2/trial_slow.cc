// RECOVER: the agent of a small deployment is killed while its worker is slow. What the new agent
// and the front have learned by the end of the slowness makes the front refuse every job from then
// on.
#include <signal.h>

#include <atomic>

#include "rig.h"

namespace {

constexpr const char* kFront1 = "127.0.0.11";
constexpr const char* kSide1 = "127.0.0.21";
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kRecoverMs = 12000;
/// How much slower the worker is, and for how long.
constexpr double kSlowness = 5.9;
constexpr std::int64_t kSlowMs = 5200;
constexpr std::int64_t kRestartDelayMs = 500;

int Play(rig::Deployment& site) {
  const rig::Queue queue;
  rig::JobBook jobs;
  rig::PutConfig(site.store(), 7, queue, kDeadlineMs, 1.6, 60);
  site.StartFront(kFront1, "front-1");
  site.StartSide(kSide1, "side-1");
  rig::SleepMs(200);
  rig::Worker::Options options{"i-1", "order-desk", site.App(kSide1), site.Control(kSide1)};
  options.speed = 1.2;
  rig::Worker worker(options, jobs);
  if (!site.WaitReady(kFront1, 10000)) return rig::kCouldNotRun;
  rig::SleepMs(2500);

  // The traffic of one worker: a job every 100 ms, of the site's three kinds.
  std::atomic<bool> over{false};
  std::atomic<bool> slow{false};
  std::atomic<std::uint64_t> number{0};
  std::mutex mutex;
  std::vector<std::pair<std::int64_t, bool>> served;
  std::vector<std::thread> callers;
  constexpr int kCallers = 20;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::int64_t next = rig::NowMs() + i * 100;
      while (!over) {
        rig::SleepUntil(next);
        next += kCallers * 100;
        const std::uint64_t turn = ++number;
        const std::string job = rig::JobName(turn);
        const bool is_quote = turn % 20 == 0;
        const bool is_check = !is_quote && turn % 4 == 1;
        const std::int64_t work = is_quote ? 900 : is_check ? 60 : 200;
        const int tasks = is_quote ? 4 : is_check ? 8 : 2;
        const std::string& prefix = is_quote   ? queue.prefix
                                    : is_check ? queue.quick_prefix
                                               : queue.slot_prefix;
        const double factor = slow ? kSlowness : 1;
        jobs.Add(job, {1600, static_cast<std::int64_t>(static_cast<double>(work) * factor)});
        const std::int64_t sent = rig::NowMs();
        const rig::Answer answer = rig::Call(site.Caller(kFront1), "POST", prefix + job, queue.host,
                                             rig::JobBody(tasks, 1600, 64, work), kDeadlineMs);
        rig::Record("submitted " + job + " at " + std::to_string(sent) + " answer " +
                    std::to_string(answer.status) + " " + answer.body);
        const std::lock_guard lock(mutex);
        served.emplace_back(sent, answer.status == 200);
      }
    });
  }
  rig::SleepMs(8000);
  const std::int64_t fault = rig::NowMs();
  if (!rig::Calm()) {
    rig::Record("the worker turns slow");
    slow = true;
    site.Signal(kSide1, SIGKILL);
    rig::SleepMs(kRestartDelayMs);
    site.StartSide(kSide1, "side-1");
    rig::SleepUntil(fault + kSlowMs);
    slow = false;
    rig::Record("the worker is as fast as before");
  }
  const std::int64_t back = rig::NowMs();
  rig::SleepUntil(back + kRecoverMs + 30000);
  over = true;
  for (std::thread& caller : callers) caller.join();
  int before = 0, before_served = 0, after = 0, after_served = 0;
  for (const auto& [sent, ok] : served) {
    if (sent < fault) {
      ++before;
      before_served += ok ? 1 : 0;
    } else if (sent > back + kRecoverMs) {
      ++after;
      after_served += ok ? 1 : 0;
    }
  }
  rig::Record("before the fault " + std::to_string(before_served) + " of " +
              std::to_string(before) +
              " served; later than recover_s after the machines were back " +
              std::to_string(after_served) + " of " + std::to_string(after));
  if (before == 0 || after == 0 || before_served * 4 < before) return rig::kCouldNotRun;
  return after_served * 4 < after ? rig::kBroken : rig::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return rig::Main(argc, argv, Play, {kFront1, kSide1}); }
