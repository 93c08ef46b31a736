// RECOVER: a front is lost for good and replaced, and then the workers are taken away one after the
// other, with notice, and others come in their place. Each agent waits up to a minute to deliver
// outcomes to the lost front before it serves the next worker on its machine.
#include <signal.h>

#include <atomic>

#include "rig.h"

namespace {

constexpr const char* kFront1 = "127.0.0.11";
constexpr const char* kFront2 = "127.0.0.12";
constexpr const char* kSide1 = "127.0.0.21";
constexpr const char* kSide2 = "127.0.0.22";
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kRecoverMs = 12000;

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
  auto worker1 = std::make_unique<rig::Worker>(options1, jobs);
  auto worker2 = std::make_unique<rig::Worker>(options2, jobs);
  if (!site.WaitReady(kFront1, 10000)) return rig::kCouldNotRun;
  rig::SleepMs(2500);

  // Callers press all the time: a quote of 4 tasks of 0.9 s every 0.3 s, through the front that the
  // platform has in rotation.
  std::atomic<bool> over{false};
  std::atomic<const char*> front{kFront1};
  std::mutex mutex;
  std::vector<std::pair<std::int64_t, bool>> served;
  std::vector<std::thread> callers;
  std::atomic<std::uint64_t> number{0};
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      rig::SleepMs(i * 250);
      while (!over) {
        const std::string job = rig::JobName(++number);
        jobs.Add(job, {1600, 900});
        const std::int64_t sent = rig::NowMs();
        const rig::Answer answer =
            rig::Call(site.Caller(front.load()), "POST", queue.prefix + job, queue.host,
                      rig::JobBody(4, 1600, 64, 900), kDeadlineMs);
        rig::Record("submitted " + job + " at " + std::to_string(sent) + " answer " +
                    std::to_string(answer.status) + " " + answer.body);
        {
          const std::lock_guard lock(mutex);
          served.emplace_back(sent, answer.status == 200);
        }
        rig::SleepUntil(sent + 1500);
      }
    });
  }
  rig::SleepMs(6000);

  // The final fault: the front is gone for good, and a new one comes a second later at another
  // address.
  const std::int64_t fault = rig::NowMs();
  std::int64_t back = fault;
  if (!rig::Calm()) {
    site.Signal(kFront1, SIGKILL);
    rig::SleepMs(1000);
    site.StartFront(kFront2, "front-2");
    back = rig::NowMs();
    front = kFront2;
  }
  rig::SleepMs(3000);
  // Planned: each worker is gone 2 s after the notice, and another comes 4 s later.
  const auto replace = [&](std::unique_ptr<rig::Worker>& worker, const rig::Worker::Options& next) {
    worker->Drain();
    rig::SleepMs(2000);
    worker->Leave();
    worker.reset();
    rig::SleepMs(4000);
    worker = std::make_unique<rig::Worker>(next, jobs);
  };
  options1.id = "i-3";
  options2.id = "i-4";
  replace(worker1, options1);
  rig::SleepMs(1000);
  replace(worker2, options2);
  const std::int64_t counted_from = std::max(back + kRecoverMs, rig::NowMs());
  rig::SleepUntil(counted_from + 30000);
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

int main(int argc, char** argv) {
  return rig::Main(argc, argv, Play, {kFront1, kFront2, kSide1, kSide2});
}
