// RECOVER: all processes are killed at once, and the store turns the front away while they start
// again. The agents announce themselves to a front that has no config yet, and never again.
#include <signal.h>

#include <atomic>

#include "rig.h"

namespace {

constexpr const char* kFront1 = "127.0.0.11";
constexpr const char* kSide1 = "127.0.0.21";
constexpr const char* kSide2 = "127.0.0.22";
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kRecoverMs = 12000;
/// How long the store turns the front away, from when the processes are killed.
constexpr std::int64_t kTurnedAwayMs = 4500;

int Play(rig::Deployment& site) {
  const rig::Queue queue;
  rig::JobBook jobs;
  rig::PutConfig(site.store(), 7, queue, kDeadlineMs, 1.6, 60);
  site.StartFront(kFront1, "front-1");
  site.StartSide(kSide1, "side-1");
  site.StartSide(kSide2, "side-2");
  rig::SleepMs(200);
  rig::Worker::Options options1{"i-1", "order-desk", site.App(kSide1), site.Control(kSide1)};
  rig::Worker::Options options2{"i-2", "order-desk", site.App(kSide2), site.Control(kSide2)};
  options2.first_report_ms = 700;
  rig::Worker worker1(options1, jobs);
  rig::Worker worker2(options2, jobs);
  if (!site.WaitReady(kFront1, 10000)) return rig::kCouldNotRun;
  rig::SleepMs(2500);

  std::atomic<bool> over{false};
  std::vector<std::pair<std::int64_t, bool>> served;
  std::thread caller([&] {
    std::uint64_t number = 0;
    while (!over) {
      const std::string job = rig::JobName(++number);
      jobs.Add(job, {1600, 200});
      const std::int64_t sent = rig::NowMs();
      const rig::Answer answer = rig::Call(site.Caller(kFront1), "POST", queue.prefix + job,
                                           queue.host, rig::JobBody(2, 1600, 64, 200), kDeadlineMs);
      rig::Record("submitted " + job + " at " + std::to_string(sent) + " answer " +
                  std::to_string(answer.status) + " " + answer.body);
      served.emplace_back(sent, answer.status == 200);
      rig::SleepUntil(sent + 400);
    }
  });
  rig::SleepMs(6000);
  // A change of the config is acknowledged, and the final fault follows.
  rig::PutConfig(site.store(), 8, queue, kDeadlineMs, 1.6, 60);
  const std::int64_t fault = rig::NowMs();
  if (!rig::Calm()) {
    site.store().TurnFrontsAway(true);
    rig::Record("the store turns the front away");
    for (const char* host : {kFront1, kSide1, kSide2}) site.Signal(host, SIGKILL);
    rig::SleepMs(500);
    site.StartFront(kFront1, "front-1");
    site.StartSide(kSide1, "side-1");
    site.StartSide(kSide2, "side-2");
    rig::SleepUntil(fault + kTurnedAwayMs);
    site.store().TurnFrontsAway(false);
    rig::Record("the store serves the front");
    if (!site.WaitReady(kFront1, 5000)) return rig::kCouldNotRun;
    rig::Record("the front says that it is ready");
  }
  const std::int64_t back = rig::NowMs();
  rig::SleepUntil(back + kRecoverMs + 40000);
  over = true;
  caller.join();
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

int main(int argc, char** argv) { return rig::Main(argc, argv, Play, {kFront1, kSide1, kSide2}); }
